#include "flamingoroute/peers/domain_confirmation.hpp"

#include <algorithm>
#include <map>

namespace flamingoroute {

std::vector<domain_confirmation> confirmationsOf(const std::vector<member_status>& members, revision target)
{
    std::map<failure_domain_id, domain_confirmation> byDomain;
    for (const auto& entry : members) {
        if (entry.state == member_state::gone)
            continue;
        const bool isFirst = byDomain.count(entry.memberInfo.failureDomain) == 0;
        auto& confirmation = byDomain[entry.memberInfo.failureDomain];
        confirmation.failureDomain = entry.memberInfo.failureDomain;
        confirmation.lowest = isFirst ? entry.entryRevision : std::min(confirmation.lowest, entry.entryRevision);
        const bool isReachable = entry.state != member_state::suspect;
        if (isReachable && entry.entryRevision >= target)
            ++confirmation.confirmed;
        else
            confirmation.missing.push_back(entry.memberInfo.instance);
    }
    std::vector<domain_confirmation> result;
    result.reserve(byDomain.size());
    for (auto& [domain, confirmation] : byDomain)
        result.push_back(std::move(confirmation));
    return result;
}

} // namespace flamingoroute
