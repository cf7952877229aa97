#ifndef FLAMINGOROUTE_REQUESTS_BODY_READER_HPP
#define FLAMINGOROUTE_REQUESTS_BODY_READER_HPP

#include <cstddef>
#include <functional>
#include <ios>
#include <string>

namespace Poco::Net {
class MessageHeader;
}

namespace flamingoroute {

/// How reading the body of a request or an answer ended.
enum class body_end {
    whole,
    cut, ///< the connection closed before the end of the body
    malformed, ///< the framing cannot be parsed, or its fields contradict each other
    unframed, ///< neither Content-Length nor Transfer-Encoding is present
    too_large,
};

/// @return the standard name, for example "cut"
const char* toString(body_end end);

/// Byte source of a body.
struct body_source {
    std::function<int()> get; ///< reads the next byte, or end of file
    std::function<int(char*, std::streamsize)> read; ///< reads up to so many bytes; 0 when the connection is closed
};

/// Reads HTTP bodies and detects truncation: POCO's own streams report a truncated body as a normal end of stream.
class body_reader {
public:
    body_reader(body_source source, std::size_t maxBytes);

    /// Reads the body using the framing fields of @p header.
    /// @param body receives the bytes read, also if the body is incomplete
    body_end readFramed(const Poco::Net::MessageHeader& header, std::string& body);

private:
    body_end readSized(std::size_t size, std::string& body);
    body_end readChunked(std::string& body);
    body_end readTrailers();
    bool readLine(std::string& line);

    body_source m_source;
    std::size_t m_maxBytes;
};

} // namespace flamingoroute

#endif
