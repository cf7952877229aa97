#include "flamingoroute/admin/queries/status_query.hpp"

#include "flamingoroute/peers/domain_confirmation.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute {

namespace {

Poco::JSON::Array::Ptr domainLines(const std::vector<member_status>& members, revision activeRevision)
{
    Poco::JSON::Array::Ptr lines(new Poco::JSON::Array);
    for (const auto& domain : confirmationsOf(members, activeRevision)) {
        Poco::JSON::Array::Ptr missing(new Poco::JSON::Array);
        for (const auto& instance : domain.missing)
            missing->add(instance.value());
        Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
        line->set("name", domain.failureDomain.value());
        line->set("revision", domain.lowest);
        line->set("instances", domain.confirmed + domain.missing.size());
        line->set("confirmed", domain.confirmed);
        line->set("missing", missing);
        lines->add(line);
    }
    return lines;
}

Poco::JSON::Array::Ptr instanceLines(const std::vector<member_status>& members)
{
    Poco::JSON::Array::Ptr lines(new Poco::JSON::Array);
    for (const auto& each : members) {
        Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
        line->set("instance", each.memberInfo.instance.value());
        line->set("failure_domain", each.memberInfo.failureDomain.value());
        line->set("region", each.memberInfo.region.value());
        line->set("state", toString(each.state));
        line->set("revision", each.entryRevision);
        lines->add(line);
    }
    return lines;
}

void addLeases(const status_access& access, Poco::JSON::Object& body)
{
    const auto leases = access.leases();
    Poco::JSON::Array::Ptr lines(new Poco::JSON::Array);
    if (!leases)
        body.set("leases_missing", describe(leases.error()));
    else {
        for (const auto& each : *leases) {
            Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
            line->set("name", each.name);
            line->set("holder", each.holder);
            line->set("epoch", each.epoch);
            lines->add(line);
        }
    }
    body.set("leases", lines);
}

} // namespace

void addStatusQuery(admin_registry& registry, const status_access& access)
{
    registry.addQuery("status", [access](const admin_request&) {
        const revision activeRevision = access.activeRevision();
        const auto members = access.members();
        Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
        body->set("revision", activeRevision);
        body->set("failure_domains", domainLines(members, activeRevision));
        body->set("instances", instanceLines(members));
        addLeases(access, *body);
        return answerWith(body);
    });
}

} // namespace flamingoroute
