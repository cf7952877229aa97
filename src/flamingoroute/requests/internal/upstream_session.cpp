#include "flamingoroute/requests/internal/upstream_session.hpp"

#include <Poco/Net/HTTPResponse.h>

namespace flamingoroute::internal {

namespace {

bool hasNoBody(const Poco::Net::HTTPResponse& response, bool isHead)
{
    const int status = response.getStatus();
    return isHead || status == 204 || status == 304;
}

} // namespace

upstream_session::upstream_session(const Poco::Net::StreamSocket& socket, std::size_t maxBodyBytes)
    : HTTPClientSession(socket)
    , m_maxBodyBytes(maxBodyBytes)
{
    setKeepAlive(true);
}

void upstream_session::writeOnce(const std::string& bytes)
{
    HTTPSession::write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

body_end upstream_session::readBody(const Poco::Net::HTTPResponse& response, bool isHead, std::string& body)
{
    if (hasNoBody(response, isHead))
        return body_end::whole;
    const body_source source { [this] { return get(); },
        [this](char* buffer, std::streamsize length) { return read(buffer, length); } };
    return body_reader(source, m_maxBodyBytes).readFramed(response, body);
}

} // namespace flamingoroute::internal
