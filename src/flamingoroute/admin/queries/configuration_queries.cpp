#include "flamingoroute/admin/queries/configuration_queries.hpp"

#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/requests/route_match.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute {

namespace {

std::string parameter(const admin_request& request, const std::string& name)
{
    const auto found = request.parameters.find(name);
    return found == request.parameters.end() ? "" : found->second;
}

admin_answer noConfiguration()
{
    return answerWith(
        error { error_code::unavailable, "admin.query", "", "no configuration is active on this instance yet" });
}

admin_answer runConfiguration(const configuration_access& access)
{
    const auto current = access.current();
    const configuration nothing;
    const configuration& objects = current ? *current : nothing;
    auto body = parseJsonObject(serializeConfiguration(objects), "active configuration");
    if (!body)
        return answerWith(body.error());
    (*body)->set("revision", objects.number);
    return answerWith(*body);
}

admin_answer runObjects(const configuration_access& access, const admin_request& request)
{
    const auto current = access.current();
    if (!current)
        return noConfiguration();
    const std::string kind = parameter(request, "kind");
    const std::string name = parameter(request, "name");
    Poco::JSON::Array::Ptr objects(new Poco::JSON::Array);
    forEachObject(*current, [&](const auto& eachKind, const auto& eachName, const auto& object) {
        if (eachKind == kind && (name.empty() || eachName == name))
            objects->add(object);
    });
    if (!name.empty() && objects->size() == 0)
        return answerWith(error { error_code::not_found, "admin.objects", kind + "/" + name, "no such object" });
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("objects", objects);
    return answerWith(body);
}

void addStep(Poco::JSON::Array& steps, const std::string& step, const std::string& finding)
{
    Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
    line->set("step", step);
    line->set("finding", finding);
    steps.add(line);
}

std::string versionsOf(const configuration& current, const service& matchedService)
{
    std::string text = "100 % on " + matchedService.currentVersion.value();
    for (const auto& move : current.moves) {
        const bool isRunning = move.phase == move_phase::stepping || move.phase == move_phase::holding;
        if (move.service == matchedService.name && isRunning)
            text = "move " + move.name.value() + ": at most " + std::to_string(move.sharePercent) + " % on "
                + move.to.value() + ", the rest on " + move.from.value();
    }
    return text;
}

void addUpstreams(Poco::JSON::Array& steps, const configuration& current, const service& matchedService)
{
    for (const auto& each : current.upstreams) {
        if (each.service != matchedService.name)
            continue;
        addStep(steps, "upstream " + each.name.value(),
            each.failureDomain.value() + ", version " + each.version.value() + ", " + std::to_string(each.slots)
                + " slots" + (each.isLeaving ? ", leaving" : ""));
    }
}

admin_answer runTrace(const configuration_access& access, const admin_request& request)
{
    const auto current = access.current();
    if (!current)
        return noConfiguration();
    const auto match = matchRoute(*current, parameter(request, "method"), parameter(request, "target"));
    if (!match)
        return answerWith(error { error_code::not_found, "trace.route", parameter(request, "target"),
            "no route matches this method and path" });
    Poco::JSON::Array::Ptr steps(new Poco::JSON::Array);
    const route& matchedRoute = *match->matchedRoute;
    addStep(*steps, "route", match->matchedService->name.value() + "/" + matchedRoute.name);
    addStep(*steps, "key", matchedRoute.isOpen ? "not needed" : "needed");
    addStep(
        *steps, "repeatable", matchedRoute.isRepeatable ? "yes: retried on another upstream" : "no: runs at most once");
    addStep(*steps, "class",
        std::string(matchedRoute.requestClass == request_class::interactive ? "interactive" : "bulk") + ", deadline "
            + std::to_string(matchedRoute.deadline.count()) + " ms");
    addStep(*steps, "version", versionsOf(*current, *match->matchedService));
    addUpstreams(*steps, *current, *match->matchedService);
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("steps", steps);
    return answerWith(body);
}

} // namespace

void addConfigurationQueries(admin_registry& registry, const configuration_access& access)
{
    registry.addQuery("configuration", [access](const auto&) { return runConfiguration(access); });
    registry.addQuery("objects", [access](const auto& request) { return runObjects(access, request); });
    registry.addQuery("trace", [access](const auto& request) { return runTrace(access, request); });
}

} // namespace flamingoroute
