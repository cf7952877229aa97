#ifndef FLAMINGOROUTE_SETTINGS_JSON_DOCUMENT_HPP
#define FLAMINGOROUTE_SETTINGS_JSON_DOCUMENT_HPP

#include "flamingoroute/model/error.hpp"

#include <Poco/JSON/Object.h>
#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// @param text a JSON object; comments are allowed
/// @param origin the source of the text in errors, for example a file name
/// @return the object, or `invalid_input`
tl::expected<Poco::JSON::Object::Ptr, error> parseJsonObject(const std::string& text, const std::string& origin);

/// @return the content of the file, or `not_found`
tl::expected<std::string, error> readFile(const std::string& path);

/// @return @p object on one line
std::string toJsonText(const Poco::JSON::Object::Ptr& object);

} // namespace flamingoroute

#endif
