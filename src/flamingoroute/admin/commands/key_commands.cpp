#include "flamingoroute/admin/commands/key_commands.hpp"

#include "flamingoroute/admin/commands/edit_commands.hpp"

namespace flamingoroute {

namespace {

bool hasKey(const configuration_access& access, const std::string& name)
{
    const auto current = access.current();
    if (!current)
        return false;
    for (const auto& key : current->keys) {
        if (key.name.value() == name)
            return true;
    }
    return false;
}

admin_answer runIssue(const configuration_access& access, const key_hooks& keys, const admin_request& request)
{
    const auto name = request.body->optValue<std::string>("name", "");
    if (hasKey(access, name))
        return answerWith(
            error { error_code::conflict, "admin.key-issue", "key/" + name, "a key with this name already exists" });
    const std::string key = keys.generate();
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("kind", "key");
    object->set("name", name);
    object->set("customer", request.body->optValue<std::string>("customer", ""));
    object->set("hash", keys.hash(key));
    const auto staleness = request.body->optValue<std::int64_t>("max_staleness_s", 0);
    if (staleness > 0)
        object->set("max_staleness_s", staleness);
    Poco::JSON::Object::Ptr extra(new Poco::JSON::Object);
    extra->set("key", key);
    return answerWith(access.edit({ putEdit(object) }, std::nullopt), extra);
}

admin_answer runWithdraw(const configuration_access& access, const admin_request& request)
{
    const auto name = request.body->optValue<std::string>("name", "");
    return modifyObject(access, "key", name, [](Poco::JSON::Object& object) { object.set("withdrawn", true); });
}

} // namespace

void addKeyCommands(admin_registry& registry, const configuration_access& access, const key_hooks& keys)
{
    registry.addCommand("key-issue", [access, keys](const auto& request) { return runIssue(access, keys, request); });
    registry.addCommand("key-withdraw", [access](const auto& request) { return runWithdraw(access, request); });
}

} // namespace flamingoroute
