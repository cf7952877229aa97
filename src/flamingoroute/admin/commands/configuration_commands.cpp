#include "flamingoroute/admin/commands/configuration_commands.hpp"

#include "flamingoroute/admin/commands/edit_commands.hpp"
#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute {

namespace {

admin_answer runPublish(const configuration_access& access, const admin_request& request)
{
    Poco::JSON::Object::Ptr set(new Poco::JSON::Object);
    set->set("objects", request.body->get("objects"));
    const auto objects = parseConfiguration(toJsonText(set), "request");
    if (!objects)
        return answerWith(objects.error());
    return answerWith(access.publish(*objects, expectedRevisionOf(request)));
}

admin_answer runChange(const configuration_access& access, const admin_request& request)
{
    std::vector<configuration_edit> edits;
    const auto removed = request.body->getArray("delete");
    for (std::size_t i = 0; !removed.isNull() && i < removed->size(); ++i) {
        const auto line = removed->getObject(static_cast<unsigned>(i));
        if (!line.isNull())
            edits.push_back({ line->optValue<std::string>("kind", ""), line->optValue<std::string>("name", ""), {} });
    }
    const auto added = request.body->getArray("put");
    for (std::size_t i = 0; !added.isNull() && i < added->size(); ++i) {
        const auto object = added->getObject(static_cast<unsigned>(i));
        if (!object.isNull())
            edits.push_back(putEdit(object));
    }
    if (edits.empty())
        return answerWith(error { error_code::invalid_input, "admin.change", request.operatorName,
            "requires objects in \"put\" or \"delete\"" });
    return answerWith(access.edit(edits, expectedRevisionOf(request)));
}

admin_answer runDrain(const configuration_access& access, const admin_request& request)
{
    const auto name = request.body->optValue<std::string>("upstream", "");
    return modifyObject(access, "upstream", name, [](Poco::JSON::Object& object) { object.set("leaving", true); });
}

} // namespace

void addConfigurationCommands(admin_registry& registry, const configuration_access& access)
{
    registry.addCommand("publish", [access](const auto& request) { return runPublish(access, request); });
    registry.addCommand("change", [access](const auto& request) { return runChange(access, request); });
    registry.addCommand("drain", [access](const auto& request) { return runDrain(access, request); });
}

} // namespace flamingoroute
