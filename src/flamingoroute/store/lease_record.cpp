#include "flamingoroute/store/lease_record.hpp"

#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <limits>

namespace flamingoroute {

std::string encodeLease(const lease_record& record)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    json->set("holder", record.holder);
    json->set("incarnation", record.holderIncarnation);
    json->set("sequence", record.sequence);
    json->set("duration_ms", record.duration.count());
    json->set("epoch", record.epoch);
    json->set("released", record.isReleased);
    return toJsonText(json);
}

tl::expected<lease_record, error> parseLease(const std::string& value)
{
    constexpr auto maxNumber = std::numeric_limits<std::int64_t>::max();
    const auto json = parseJsonObject(value, "lease");
    if (!json)
        return tl::unexpected(json.error());
    problem_list problems;
    json_reader reader(*json, "lease", problems);
    lease_record record;
    record.holder = reader.requiredString("holder");
    record.holderIncarnation = static_cast<incarnation>(reader.requiredInt("incarnation", 0, maxNumber));
    record.sequence = static_cast<std::uint64_t>(reader.requiredInt("sequence", 0, maxNumber));
    record.duration = milliseconds(reader.requiredInt("duration_ms", 0, maxNumber));
    record.epoch = static_cast<object_version>(reader.requiredInt("epoch", 0, maxNumber));
    record.isReleased = reader.optionalBool("released", false);
    reader.finish();
    if (!problems.empty())
        return tl::unexpected(error { error_code::invalid_input, "lease.parse", "", describe(problems) });
    return record;
}

} // namespace flamingoroute
