#include "flamingoroute/fleet/region_index.hpp"

#include <algorithm>

namespace flamingoroute {

void region_index::add(const region_id& region, const instance_id& instance)
{
    auto& group = m_groups[region];
    group.names.insert(std::lower_bound(group.names.begin(), group.names.end(), instance), instance);
    group.revision = ++m_lastRevision;
}

void region_index::remove(const region_id& region, const instance_id& instance)
{
    auto& group = m_groups[region];
    std::erase(group.names, instance);
    group.revision = ++m_lastRevision;
}

const instance_group& region_index::of(const region_id& region) const
{
    static const instance_group none;
    const auto known = m_groups.find(region);
    return known == m_groups.end() ? none : known->second;
}

} // namespace flamingoroute
