#include "flamingoroute/requests/body_reader.hpp"

#include <Poco/Net/MessageHeader.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace flamingoroute {

namespace {

constexpr std::size_t maxLineBytes = 8192;
constexpr int maxTrailerLines = 100;
constexpr std::size_t readBytes = 16384;

/// @return false if Content-Length is missing, is not a number or has conflicting values
bool parseContentLength(const Poco::Net::MessageHeader& header, std::size_t& size)
{
    bool isFound = false;
    for (const auto& field : header) {
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

/// @return whether there is exactly one Transfer-Encoding field and its value is "chunked"
bool isChunkedOnly(const Poco::Net::MessageHeader& header)
{
    int count = 0;
    for (const auto& field : header)
        count += Poco::icompare(field.first, "Transfer-Encoding") == 0 ? 1 : 0;
    return count == 1 && Poco::icompare(header.get("Transfer-Encoding"), "chunked") == 0;
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

body_reader::body_reader(body_source source, std::size_t maxBytes)
    : m_source(std::move(source))
    , m_maxBytes(maxBytes)
{
}

body_end body_reader::readFramed(const Poco::Net::MessageHeader& header, std::string& body)
{
    const bool hasEncoding = header.has("Transfer-Encoding");
    const bool hasLength = header.has("Content-Length");
    if (hasEncoding && hasLength)
        return body_end::malformed;
    if (hasEncoding)
        return isChunkedOnly(header) ? readChunked(body) : body_end::malformed;
    if (!hasLength)
        return body_end::unframed;
    std::size_t size = 0;
    return parseContentLength(header, size) ? readSized(size, body) : body_end::malformed;
}

body_end body_reader::readSized(std::size_t size, std::string& body)
{
    if (size > m_maxBytes - body.size())
        return body_end::too_large;
    std::array<char, readBytes> buffer;
    while (size > 0) {
        const auto readSize = static_cast<std::streamsize>(std::min(size, buffer.size()));
        const int count = m_source.read(buffer.data(), readSize);
        if (count <= 0)
            return body_end::cut;
        body.append(buffer.data(), count);
        size -= count;
    }
    return body_end::whole;
}

body_end body_reader::readChunked(std::string& body)
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

body_end body_reader::readTrailers()
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

bool body_reader::readLine(std::string& line)
{
    line.clear();
    while (line.size() < maxLineBytes) {
        const int next = m_source.get();
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

} // namespace flamingoroute
