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

member_record recordOf(const member& memberInfo)
{
    member_record record;
    record.instance = memberInfo.instance.value();
    record.failureDomain = memberInfo.failureDomain.value();
    record.region = memberInfo.region.value();
    record.callerAddress = toString(memberInfo.callerAddress);
    record.entryAddress = toString(memberInfo.entryAddress);
    record.controlAddress = toString(memberInfo.controlAddress);
    return record;
}

std::optional<member> memberOf(const member_record& record)
{
    member memberInfo;
    memberInfo.instance = instance_id(record.instance);
    memberInfo.failureDomain = failure_domain_id(record.failureDomain);
    memberInfo.region = region_id(record.region);
    const bool isReadable = parseEndpoint(record.callerAddress, memberInfo.callerAddress)
        && parseEndpoint(record.entryAddress, memberInfo.entryAddress)
        && parseEndpoint(record.controlAddress, memberInfo.controlAddress);
    if (!isReadable || record.instance.empty() || record.state > static_cast<std::uint8_t>(member_state::gone))
        return std::nullopt;
    return memberInfo;
}

} // namespace flamingoroute
