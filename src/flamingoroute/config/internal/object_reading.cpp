#include "flamingoroute/config/internal/object_reading.hpp"

#include "flamingoroute/config/internal/object_names.hpp"
#include "flamingoroute/config/object_codec.hpp"

namespace flamingoroute::internal {

namespace {

constexpr std::int64_t maxDistanceMs = 10'000;
constexpr std::int64_t maxMegabitsPerSecond = 10'000'000;
constexpr std::int64_t maxDeadlineMs = 600'000;
constexpr std::int64_t maxSlots = 100'000;
constexpr std::int64_t maxConnections = 1'000'000;
constexpr std::int64_t maxWeight = 1'000;
constexpr std::int64_t maxStalenessSeconds = 7 * 24 * 3600;
constexpr double maxPerSecond = 1e7;
constexpr std::int64_t maxBurst = 10'000'000;

template <typename Id> Id requiredId(json_reader& reader, const std::string& field)
{
    return Id(reader.requiredString(field));
}

int smallInt(json_reader& reader, const std::string& field, int fallback, std::int64_t low, std::int64_t high)
{
    return static_cast<int>(reader.optionalInt(field, fallback, low, high));
}

std::int64_t readTime(json_reader& reader, const std::string& field, bool isRequired)
{
    std::int64_t result = 0;
    if (!isRequired && !reader.has(field))
        return result;
    const std::string text = reader.requiredString(field);
    if (!text.empty() && !parseUtc(text, result))
        reader.report(field, "must be a time such as 2026-12-04T09:30:00Z");
    return result;
}

void readRoute(json_reader& reader, route& object)
{
    object.name = reader.requiredString("name");
    object.pathPrefix = reader.requiredString("path_prefix");
    object.methods = reader.optionalStrings("methods");
    object.isRepeatable = reader.optionalBool("repeatable", false);
    object.isOpen = reader.optionalBool("open", false);
    object.requiresIdempotencyKey = reader.optionalBool("requires_idempotency_key", false);
    object.requestClass = static_cast<request_class>(reader.choice("class", requestClassNames, 0));
    object.deadline = milliseconds(reader.optionalInt("deadline_ms", object.deadline.count(), 1, maxDeadlineMs));
}

void readMoveProgress(json_reader& reader, version_move& object)
{
    object.phase = static_cast<move_phase>(reader.choice("phase", movePhaseNames, 0));
    object.sharePercent = smallInt(reader, "share_percent", 0, 0, 100);
    object.lastSafePercent = smallInt(reader, "last_safe_percent", 0, 0, 100);
    object.steppedAtUnixMs = readTime(reader, "stepped_at", false);
    object.reason = reader.optionalString("reason", "");
}

} // namespace

void readFields(json_reader& reader, region& object)
{
    reader.optionalObjects("links", [&object](json_reader& item) {
        region_link link;
        link.to = requiredId<region_id>(item, "to");
        link.distance = milliseconds(item.requiredInt("distance_ms", 0, maxDistanceMs));
        link.megabitsPerSecond = smallInt(item, "megabits_per_second", 1000, 1, maxMegabitsPerSecond);
        object.links.push_back(link);
    });
}

void readFields(json_reader& reader, failure_domain& object)
{
    object.region = requiredId<region_id>(reader, "region");
}

void readFields(json_reader& reader, service& object)
{
    object.currentVersion = requiredId<version_id>(reader, "current_version");
    object.unclaimable = static_cast<unclaimable_policy>(reader.choice("unclaimable", unclaimablePolicyNames, 0));
    reader.optionalObjects("routes", [&object](json_reader& item) { readRoute(item, object.routes.emplace_back()); });
}

void readFields(json_reader& reader, version& object) { object.service = requiredId<service_id>(reader, "service"); }

void readFields(json_reader& reader, upstream& object)
{
    object.service = requiredId<service_id>(reader, "service");
    object.version = requiredId<version_id>(reader, "version");
    object.failureDomain = requiredId<failure_domain_id>(reader, "failure_domain");
    object.address = reader.requiredEndpoint("address");
    object.slots = smallInt(reader, "slots", object.slots, 1, maxSlots);
    object.maxConnections = smallInt(reader, "max_connections", object.maxConnections, 1, maxConnections);
    object.isLeaving = reader.optionalBool("leaving", false);
}

void readFields(json_reader& reader, customer& object)
{
    object.weight = smallInt(reader, "weight", object.weight, 1, maxWeight);
}

void readFields(json_reader& reader, access_key& object)
{
    object.customer = requiredId<customer_id>(reader, "customer");
    object.hash = reader.requiredString("hash");
    object.isWithdrawn = reader.optionalBool("withdrawn", false);
    object.maxStaleness = seconds(reader.optionalInt("max_staleness_s", 0, 0, maxStalenessSeconds));
}

void readFields(json_reader& reader, rate_limit& object)
{
    object.customer = requiredId<customer_id>(reader, "customer");
    object.perSecond = reader.requiredNumber("per_second", 0, maxPerSecond);
    object.burst = static_cast<int>(reader.requiredInt("burst", 1, maxBurst));
}

void readFields(json_reader& reader, version_move& object)
{
    object.service = requiredId<service_id>(reader, "service");
    object.from = requiredId<version_id>(reader, "from");
    object.to = requiredId<version_id>(reader, "to");
    object.capPercent = smallInt(reader, "cap_percent", object.capPercent, 1, 100);
    object.startAtUnixMs = readTime(reader, "start_at", false);
    object.finishByUnixMs = readTime(reader, "finish_by", true);
    object.isRollbackRequested = reader.optionalBool("take_back", false);
    readMoveProgress(reader, object);
}

void readFields(json_reader& reader, client_block& object)
{
    object.range = reader.requiredString("range");
    object.region = requiredId<region_id>(reader, "region");
}

void readFields(json_reader& reader, service_objective& object)
{
    object.service = requiredId<service_id>(reader, "service");
    object.customer = customer_id(reader.optionalString("customer", ""));
    object.latency = milliseconds(reader.optionalInt("latency_ms", object.latency.count(), 1, maxDeadlineMs));
    object.goodShare = reader.optionalNumber("good_share", object.goodShare, 0, 0.999999);
}

} // namespace flamingoroute::internal
