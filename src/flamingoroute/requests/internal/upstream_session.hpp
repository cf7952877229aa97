#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_SESSION_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_SESSION_HPP

#include <Poco/Net/HTTPClientSession.h>

#include <cstddef>
#include <string>

namespace flamingoroute::internal {

/// How the body of an answer ended.
enum class body_end {
    whole,
    cut, ///< the connection ended first
    malformed, ///< the framing cannot be read
    unframed, ///< only the end of the connection would end it
    too_large,
};

/// @return the standard name, for example "cut"
const char* toString(body_end end);

/// POCO's session on an open socket, without its silent reconnects, and with bodies whose end is checked: POCO's own
/// streams report a cut body as an ordinary end.
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
    body_end readSized(std::size_t size, std::string& body);
    body_end readChunked(std::string& body);
    body_end readTrailers();
    bool readLine(std::string& line);

    std::size_t m_maxBodyBytes;
};

} // namespace flamingoroute::internal

#endif
