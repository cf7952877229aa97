#include "flamingoroute/peers/domain_confirmation.hpp"

#include <algorithm>
#include <map>

namespace flamingoroute {

std::vector<domain_confirmation> confirmationsOf(const std::vector<member_status>& members, revision wanted)
{
    std::map<failure_domain_id, domain_confirmation> byDomain;
    for (const auto& entry : members) {
        if (entry.state == member_state::gone)
            continue;
        const bool isFirst = byDomain.count(entry.where.failureDomain) == 0;
        auto& line = byDomain[entry.where.failureDomain];
        line.failureDomain = entry.where.failureDomain;
        line.lowest = isFirst ? entry.entryRevision : std::min(line.lowest, entry.entryRevision);
        const bool isHeard = entry.state != member_state::suspect;
        if (isHeard && entry.entryRevision >= wanted)
            ++line.confirmed;
        else
            line.missing.push_back(entry.where.instance);
    }
    std::vector<domain_confirmation> result;
    result.reserve(byDomain.size());
    for (auto& [domain, line] : byDomain)
        result.push_back(std::move(line));
    return result;
}

} // namespace flamingoroute
