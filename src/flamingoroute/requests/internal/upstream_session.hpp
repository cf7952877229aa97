#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_SESSION_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_SESSION_HPP

#include "flamingoroute/requests/body_reader.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <cstddef>
#include <string>

namespace flamingoroute::internal {

/// A POCO session on an open socket that never reconnects implicitly and that detects truncated bodies.
class upstream_session : public Poco::Net::HTTPClientSession {
public:
    upstream_session(const Poco::Net::StreamSocket& socket, std::size_t maxBodyBytes);

    /// Writes @p bytes without reconnecting.
    void writeOnce(const std::string& bytes);

    /// Reads the body that belongs to @p response.
    /// @param body receives the bytes read
    body_end readBody(const Poco::Net::HTTPResponse& response, bool isHead, std::string& body);

    /// @return whether bytes were received that belong to no requested answer
    bool hasUnreadBytes() const { return buffered() > 0; }

private:
    std::size_t m_maxBodyBytes;
};

} // namespace flamingoroute::internal

#endif
