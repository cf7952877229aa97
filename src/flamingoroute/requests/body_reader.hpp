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

/// How the body of a request or an answer ended.
enum class body_end {
    whole,
    cut, ///< the connection ended first
    malformed, ///< the framing cannot be read, or its fields contradict each other
    unframed, ///< no field says where it ends
    too_large,
};

/// @return the standard name, for example "cut"
const char* toString(body_end end);

/// Where a body's bytes come from.
struct body_source {
    std::function<int()> get; ///< the next byte, or end of file
    std::function<int(char*, std::streamsize)> read; ///< up to so many bytes; none at the end of the connection
};

/// Reads HTTP bodies and checks their ends: POCO's own streams report a cut body as an ordinary end.
class body_reader {
public:
    body_reader(body_source source, std::size_t maxBytes);

    /// Reads the body that the fields of @p header frame.
    /// @param body receives what came
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
