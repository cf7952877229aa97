#include "flamingoroute/requests/internal/upstream_session.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace flamingoroute::internal {

namespace {

constexpr std::size_t maxLineBytes = 8192;
constexpr int maxTrailerLines = 100;
constexpr std::size_t readBytes = 16384;

bool hasNoBody(const Poco::Net::HTTPResponse& response, bool isHead)
{
    const int status = response.getStatus();
    return isHead || status == 204 || status == 304;
}

/// @return false if the fields are missing, wrong or contradict each other
bool parseContentLength(const Poco::Net::HTTPResponse& response, std::size_t& size)
{
    bool isFound = false;
    for (const auto& field : response) {
        if (Poco::icompare(field.first, "Content-Length") != 0)
            continue;
        const auto& text = field.second;
        Poco::UInt64 value = 0;
        const bool isNumber = !text.empty() && std::all_of(text.begin(), text.end(), ::isdigit);
        if (!isNumber || !Poco::NumberParser::tryParseUnsigned64(text, value) || (isFound && value != size))
            return false;
        size = value;
        isFound = true;
    }
    return isFound;
}

bool parseChunkSize(const std::string& line, std::size_t& size)
{
    std::string digits = line.substr(0, line.find(';'));
    Poco::trimInPlace(digits);
    constexpr std::size_t maxDigits = 8;
    const bool isHex = !digits.empty() && std::all_of(digits.begin(), digits.end(), ::isxdigit);
    unsigned value = 0;
    if (!isHex || digits.size() > maxDigits || !Poco::NumberParser::tryParseHex(digits, value))
        return false;
    size = value;
    return true;
}

} // namespace

const char* toString(body_end end)
{
    switch (end) {
    case body_end::whole:
        return "whole";
    case body_end::cut:
        return "cut";
    case body_end::malformed:
        return "malformed";
    case body_end::unframed:
        return "unframed";
    case body_end::too_large:
        return "too_large";
    }
    return "malformed";
}

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
    const bool hasEncoding = response.has("Transfer-Encoding");
    const bool hasLength = response.has("Content-Length");
    if (hasEncoding && hasLength)
        return body_end::malformed;
    if (hasEncoding)
        return Poco::icompare(response.get("Transfer-Encoding"), "chunked") == 0 ? readChunked(body)
                                                                                 : body_end::malformed;
    if (!hasLength)
        return body_end::unframed;
    std::size_t size = 0;
    return parseContentLength(response, size) ? readSized(size, body) : body_end::malformed;
}

body_end upstream_session::readSized(std::size_t size, std::string& body)
{
    if (size > m_maxBodyBytes - body.size())
        return body_end::too_large;
    std::array<char, readBytes> buffer;
    while (size > 0) {
        const auto wanted = static_cast<std::streamsize>(std::min(size, buffer.size()));
        const int count = read(buffer.data(), wanted);
        if (count <= 0)
            return body_end::cut;
        body.append(buffer.data(), count);
        size -= count;
    }
    return body_end::whole;
}

body_end upstream_session::readChunked(std::string& body)
{
    while (true) {
        std::string line;
        if (!readLine(line))
            return body_end::cut;
        std::size_t size = 0;
        if (!parseChunkSize(line, size))
            return body_end::malformed;
        if (size == 0)
            return readTrailers();
        const auto end = readSized(size, body);
        if (end != body_end::whole)
            return end;
        if (!readLine(line))
            return body_end::cut;
        if (!line.empty())
            return body_end::malformed;
    }
}

body_end upstream_session::readTrailers()
{
    for (int count = 0; count < maxTrailerLines; ++count) {
        std::string line;
        if (!readLine(line))
            return body_end::cut;
        if (line.empty())
            return body_end::whole;
    }
    return body_end::malformed;
}

bool upstream_session::readLine(std::string& line)
{
    line.clear();
    while (line.size() < maxLineBytes) {
        const int next = get();
        if (next == std::char_traits<char>::eof())
            return false;
        if (next == '\n') {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return true;
        }
        line.push_back(static_cast<char>(next));
    }
    return false;
}

} // namespace flamingoroute::internal
