#include "flamingoroute/model/endpoint.hpp"

#include <Poco/Net/IPAddress.h>

#include <charconv>

namespace flamingoroute {

std::string toString(const endpoint& where)
{
    const bool isIpv6 = where.address.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + where.address + "]" : where.address;
    return host + ":" + std::to_string(where.port);
}

bool parseEndpoint(const std::string& text, endpoint& result)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return false;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data() + colon + 1, end, port);
    if (problem != std::errc {} || stop != end || port == 0)
        return false;
    Poco::Net::IPAddress number;
    if (!Poco::Net::IPAddress::tryParse(host, number))
        return false;
    result = endpoint { host, port };
    return true;
}

} // namespace flamingoroute
