#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace flamingoroute {

namespace {

/// @return the position after the string that begins at @p at
std::size_t endOfString(const std::string& text, std::size_t at)
{
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\')
            ++at;
    }
    return at + 1;
}

/// @return the position after the comment that begins at @p at, or @p at if there is none
std::size_t endOfComment(const std::string& text, std::size_t at)
{
    if (text.compare(at, 2, "//") == 0)
        return std::min(text.find('\n', at), text.size());
    if (text.compare(at, 2, "/*") != 0)
        return at;
    const auto end = text.find("*/", at + 2);
    return end == std::string::npos ? text.size() : end + 2;
}

/// Replaces comments by blanks, so that positions in parse errors stay correct. The parser itself does not support
/// line comments.
std::string withoutComments(std::string text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        if (text[at] == '"') {
            at = endOfString(text, at);
            continue;
        }
        const auto end = endOfComment(text, at);
        for (auto i = at; i < end; ++i)
            text[i] = text[i] == '\n' ? '\n' : ' ';
        at = std::max(end, at + 1);
    }
    return text;
}

} // namespace

tl::expected<Poco::JSON::Object::Ptr, error> parseJsonObject(const std::string& text, const std::string& origin)
{
    try {
        Poco::JSON::Parser parser;
        auto object = parser.parse(withoutComments(text)).extract<Poco::JSON::Object::Ptr>();
        if (!object.isNull())
            return object;
    } catch (const Poco::Exception& problem) {
        return tl::unexpected(error { error_code::invalid_input, "json.parse", origin, problem.displayText() });
    }
    return tl::unexpected(error { error_code::invalid_input, "json.parse", origin, "must be a JSON object" });
}

tl::expected<std::string, error> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return tl::unexpected(error { error_code::not_found, "file.read", path, "cannot be opened" });
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string toJsonText(const Poco::JSON::Object::Ptr& object)
{
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

} // namespace flamingoroute
