#include "flamingoroute/admin/commands/edit_commands.hpp"

#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/settings/json_document.hpp"

namespace flamingoroute {

admin_answer answerWith(const tl::expected<revision, publish_failure>& published)
{
    return answerWith(published, Poco::JSON::Object::Ptr(new Poco::JSON::Object));
}

admin_answer answerWith(const tl::expected<revision, publish_failure>& published, const Poco::JSON::Object::Ptr& extra)
{
    if (published) {
        Poco::JSON::Object::Ptr body = extra;
        body->set("revision", *published);
        return answerWith(body);
    }
    if (!published.error().problems.empty())
        return answerWith(published.error().problems);
    return answerWith(published.error().cause);
}

std::optional<revision> expectedRevisionOf(const admin_request& request)
{
    if (!request.body->has("expected_revision"))
        return std::nullopt;
    return request.body->getValue<revision>("expected_revision");
}

configuration_edit putEdit(const Poco::JSON::Object::Ptr& object)
{
    configuration_edit edit;
    edit.kind = object->optValue<std::string>("kind", "");
    edit.name = object->optValue<std::string>("name", "");
    edit.json = toJsonText(object);
    return edit;
}

admin_answer modifyObject(const configuration_access& access, const std::string& kind, const std::string& name,
    const std::function<void(Poco::JSON::Object& object)>& modify)
{
    const auto current = access.current();
    Poco::JSON::Object::Ptr found;
    if (current) {
        forEachObject(*current, [&](const auto& eachKind, const auto& eachName, const auto& object) {
            if (eachKind == kind && eachName == name)
                found = object;
        });
    }
    if (found.isNull())
        return answerWith(error { error_code::not_found, "admin.modify", kind + "/" + name, "no such object" });
    modify(*found);
    return answerWith(access.edit({ putEdit(found) }, std::nullopt));
}

} // namespace flamingoroute
