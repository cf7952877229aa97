#ifndef FLAMINGOROUTE_PROXY_INTERNAL_BEAST_FIELDS_HPP
#define FLAMINGOROUTE_PROXY_INTERNAL_BEAST_FIELDS_HPP

#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// @param message a Beast message
/// @return its header fields in wire order
template <typename Message> std::vector<http_header> headersOf(const Message& message)
{
    std::vector<http_header> headers;
    for (const auto& field : message.base())
        headers.push_back(http_header { std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

} // namespace flamingoroute

#endif
