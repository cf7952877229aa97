#include "flamingoroute/config/internal/object_writing.hpp"

#include "flamingoroute/config/internal/object_names.hpp"
#include "flamingoroute/config/object_codec.hpp"

#include <Poco/JSON/Array.h>

namespace flamingoroute::internal {

namespace {

const std::string& nameAt(const std::vector<std::string>& names, std::size_t position) { return names.at(position); }

Poco::JSON::Object::Ptr writeRoute(const route& entry)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    json->set("name", entry.name);
    json->set("path_prefix", entry.pathPrefix);
    Poco::JSON::Array::Ptr methods = new Poco::JSON::Array;
    for (const auto& method : entry.methods)
        methods->add(method);
    json->set("methods", methods);
    json->set("repeatable", entry.isRepeatable);
    json->set("open", entry.isOpen);
    json->set("requires_idempotency_key", entry.requiresIdempotencyKey);
    json->set("class", nameAt(requestClassNames, static_cast<std::size_t>(entry.requestClass)));
    json->set("deadline_ms", entry.deadline.count());
    return json;
}

} // namespace

void writeFields(Poco::JSON::Object& json, const region& object)
{
    Poco::JSON::Array::Ptr links = new Poco::JSON::Array;
    for (const auto& link : object.links) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
        item->set("to", link.to.value());
        item->set("distance_ms", link.distance.count());
        item->set("megabits_per_second", link.megabitsPerSecond);
        links->add(item);
    }
    json.set("links", links);
}

void writeFields(Poco::JSON::Object& json, const failure_domain& object) { json.set("region", object.region.value()); }

void writeFields(Poco::JSON::Object& json, const service& object)
{
    json.set("current_version", object.currentVersion.value());
    json.set("unclaimable", nameAt(unclaimablePolicyNames, static_cast<std::size_t>(object.unclaimable)));
    Poco::JSON::Array::Ptr routes = new Poco::JSON::Array;
    for (const auto& entry : object.routes)
        routes->add(writeRoute(entry));
    json.set("routes", routes);
}

void writeFields(Poco::JSON::Object& json, const version& object) { json.set("service", object.service.value()); }

void writeFields(Poco::JSON::Object& json, const upstream& object)
{
    json.set("service", object.service.value());
    json.set("version", object.version.value());
    json.set("failure_domain", object.failureDomain.value());
    json.set("address", toString(object.address));
    json.set("slots", object.slots);
    json.set("max_connections", object.maxConnections);
    json.set("leaving", object.isLeaving);
}

void writeFields(Poco::JSON::Object& json, const customer& object) { json.set("weight", object.weight); }

void writeFields(Poco::JSON::Object& json, const access_key& object)
{
    json.set("customer", object.customer.value());
    json.set("hash", object.hash);
    json.set("withdrawn", object.isWithdrawn);
    json.set("max_staleness_s", object.maxStaleness.count());
}

void writeFields(Poco::JSON::Object& json, const rate_limit& object)
{
    json.set("customer", object.customer.value());
    json.set("per_second", object.perSecond);
    json.set("burst", object.burst);
}

void writeFields(Poco::JSON::Object& json, const version_move& object)
{
    json.set("service", object.service.value());
    json.set("from", object.from.value());
    json.set("to", object.to.value());
    json.set("cap_percent", object.capPercent);
    if (object.startAtUnixMs != 0)
        json.set("start_at", formatUtc(object.startAtUnixMs));
    json.set("finish_by", formatUtc(object.finishByUnixMs));
    json.set("take_back", object.isRollbackRequested);
    json.set("phase", nameAt(movePhaseNames, static_cast<std::size_t>(object.phase)));
    json.set("share_percent", object.sharePercent);
    json.set("last_safe_percent", object.lastSafePercent);
    if (object.steppedAtUnixMs != 0)
        json.set("stepped_at", formatUtc(object.steppedAtUnixMs));
    if (!object.reason.empty())
        json.set("reason", object.reason);
}

void writeFields(Poco::JSON::Object& json, const client_block& object)
{
    json.set("range", object.range);
    json.set("region", object.region.value());
}

void writeFields(Poco::JSON::Object& json, const service_objective& object)
{
    json.set("service", object.service.value());
    if (!object.customer.empty())
        json.set("customer", object.customer.value());
    json.set("latency_ms", object.latency.count());
    json.set("good_share", object.goodShare);
}

} // namespace flamingoroute::internal
