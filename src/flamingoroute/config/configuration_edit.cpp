#include "flamingoroute/config/configuration_edit.hpp"

#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/settings/json_document.hpp"

namespace flamingoroute {

namespace {

void put(configuration& objects, const configuration_edit& edit, const std::string& path, problem_list& problems)
{
    auto json = parseJsonObject(*edit.json, path);
    if (!json) {
        problems.push_back(problem { path, json.error().detail });
        return;
    }
    const bool isSame = (*json)->optValue<std::string>("kind", edit.kind) == edit.kind
        && (*json)->optValue<std::string>("name", edit.name) == edit.name;
    if (!isSame) {
        problems.push_back(problem { path, "kind and name must match those of the edit" });
        return;
    }
    (*json)->set("kind", edit.kind);
    (*json)->set("name", edit.name);
    removeObject(objects, edit.kind, edit.name);
    readObjectInto(objects, *json, path, problems);
}

} // namespace

tl::expected<configuration, problem_list> applyEdits(
    configuration objects, const std::vector<configuration_edit>& edits)
{
    problem_list problems;
    for (const auto& edit : edits) {
        const std::string path = edit.kind + "/" + edit.name;
        if (edit.json)
            put(objects, edit, path, problems);
        else if (!removeObject(objects, edit.kind, edit.name))
            problems.push_back(problem { path, "does not exist" });
    }
    if (!problems.empty())
        return tl::unexpected(problems);
    sortObjects(objects);
    return objects;
}

} // namespace flamingoroute
