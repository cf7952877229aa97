#ifndef FLAMINGOROUTE_CONFIG_OBJECT_CODEC_HPP
#define FLAMINGOROUTE_CONFIG_OBJECT_CODEC_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/settings/problem.hpp"

#include <Poco/JSON/Object.h>
#include <tl/expected.hpp>

#include <functional>
#include <string>

namespace flamingoroute {

/// Objects as JSON: {"kind": "upstream", "name": "m-1", ...}, field names in snake case with units.
/// A configuration is {"objects": [...]}. Unknown fields are problems, and all problems are reported at once.

/// Adds one object to a configuration, which is not sorted until sortObjects is called.
/// @param object with "kind" and "name"
/// @param path location used in problems if the object has no kind and name, for example "objects[3]"
/// @return false if problems were added
bool readObjectInto(
    configuration& objects, const Poco::JSON::Object::Ptr& object, const std::string& path, problem_list& problems);

/// Sorts each kind by name.
void sortObjects(configuration& objects);

/// @param text {"objects": [...]}; comments are allowed
/// @param origin name of the text in problems
/// @return the sorted configuration, or every problem
tl::expected<configuration, problem_list> parseConfiguration(const std::string& text, const std::string& origin);

/// @return {"objects": [...]}, the same text for the same configuration
std::string serializeConfiguration(const configuration& objects);

/// Called for each object: kind, name and the object as JSON.
using object_visitor
    = std::function<void(const std::string& kind, const std::string& name, const Poco::JSON::Object::Ptr& object)>;

/// Visits each object in the order of kinds and names.
void forEachObject(const configuration& objects, const object_visitor& visit);

/// Removes an object.
/// @return false if there is none
bool removeObject(configuration& objects, const std::string& kind, const std::string& name);

/// @param unixMs milliseconds since 1970 UTC
/// @return RFC 3339 in UTC with milliseconds, for example "2026-12-04T09:30:00.000Z"
std::string formatUtc(std::int64_t unixMs);

/// @param text RFC 3339 with any offset
/// @return false if @p text is not of that form; @p unixMs is unchanged then
bool parseUtc(const std::string& text, std::int64_t& unixMs);

} // namespace flamingoroute

#endif
