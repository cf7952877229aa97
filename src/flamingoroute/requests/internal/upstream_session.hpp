#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_SESSION_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_SESSION_HPP

#include "flamingoroute/requests/body_reader.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <cstddef>
#include <string>

namespace flamingoroute::internal {

/// POCO's session on an open socket, without its silent reconnects and with bodies whose end is checked.
class upstream_session : public Poco::Net::HTTPClientSession {
public:
    upstream_session(const Poco::Net::StreamSocket& socket, std::size_t maxBodyBytes);

    /// Writes @p bytes once.
    void writeOnce(const std::string& bytes);

    /// Reads the body that belongs to @p response.
    /// @param body receives what came
    body_end readBody(const Poco::Net::HTTPResponse& response, bool isHead, std::string& body);

    /// @return whether bytes were read that belong to no answer asked for
    bool hasUnreadBytes() const { return buffered() > 0; }

private:
    std::size_t m_maxBodyBytes;
};

} // namespace flamingoroute::internal

#endif
