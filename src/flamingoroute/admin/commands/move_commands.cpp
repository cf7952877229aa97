#include "flamingoroute/admin/commands/move_commands.hpp"

#include "flamingoroute/admin/commands/edit_commands.hpp"

namespace flamingoroute {

namespace {

admin_answer runStart(const configuration_access& access, const admin_request& request)
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("kind", "move");
    for (const char* field : { "name", "service", "from", "to", "finish_by", "cap_percent", "start_at" }) {
        if (request.body->has(field))
            object->set(field, request.body->get(field));
    }
    return answerWith(access.edit({ putEdit(object) }, std::nullopt));
}

admin_answer runRollback(const configuration_access& access, const admin_request& request)
{
    const auto name = request.body->optValue<std::string>("name", "");
    return modifyObject(access, "move", name, [](Poco::JSON::Object& object) { object.set("take_back", true); });
}

} // namespace

void addMoveCommands(admin_registry& registry, const configuration_access& access)
{
    registry.addCommand("move-start", [access](const auto& request) { return runStart(access, request); });
    registry.addCommand("move-take-back", [access](const auto& request) { return runRollback(access, request); });
}

} // namespace flamingoroute
