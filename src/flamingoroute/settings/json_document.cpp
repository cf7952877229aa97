#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Parser.h>

#include <fstream>
#include <sstream>

namespace flamingoroute {

tl::expected<Poco::JSON::Object::Ptr, error> parseJsonObject(const std::string& text, const std::string& origin)
{
    try {
        Poco::JSON::Parser parser;
        parser.setAllowComments(true);
        auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
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
