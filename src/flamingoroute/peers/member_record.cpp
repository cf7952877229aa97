#include "flamingoroute/peers/member_record.hpp"

#include "flamingoroute/peers/member_state.hpp"

namespace flamingoroute {

const char* toString(member_state state)
{
    switch (state) {
    case member_state::live:
        return "live";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::gone:
        return "gone";
    }
    return "suspect";
}

member_record recordOf(const member& where)
{
    member_record record;
    record.instance = where.instance.value();
    record.failureDomain = where.failureDomain.value();
    record.region = where.region.value();
    record.callerAddress = toString(where.callerAddress);
    record.entryAddress = toString(where.entryAddress);
    record.controlAddress = toString(where.controlAddress);
    return record;
}

std::optional<member> memberOf(const member_record& record)
{
    member where;
    where.instance = instance_id(record.instance);
    where.failureDomain = failure_domain_id(record.failureDomain);
    where.region = region_id(record.region);
    const bool isReadable = parseEndpoint(record.callerAddress, where.callerAddress)
        && parseEndpoint(record.entryAddress, where.entryAddress)
        && parseEndpoint(record.controlAddress, where.controlAddress);
    if (!isReadable || record.instance.empty() || record.state > static_cast<std::uint8_t>(member_state::gone))
        return std::nullopt;
    return where;
}

} // namespace flamingoroute
