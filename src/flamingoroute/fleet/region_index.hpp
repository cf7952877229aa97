#ifndef FLAMINGOROUTE_FLEET_REGION_INDEX_HPP
#define FLAMINGOROUTE_FLEET_REGION_INDEX_HPP

#include "flamingoroute/fleet/instance_group.hpp"

#include <cstdint>
#include <map>

namespace flamingoroute {

/// The names of the instances of each region, kept up to date by each change, so that a request reads them without
/// going through all members. Pure: no I/O, clocks or threads.
class region_index {
public:
    /// Adds an instance that is not in the index.
    void add(const region_id& region, const instance_id& instance);

    /// Removes an instance that is in the index.
    void remove(const region_id& region, const instance_id& instance);

    /// @return the instances of @p region; an empty group if there are none
    const instance_group& of(const region_id& region) const;

    const std::map<region_id, instance_group>& all() const { return m_groups; }

private:
    std::uint64_t m_lastRevision = 0;
    std::map<region_id, instance_group> m_groups;
};

} // namespace flamingoroute

#endif
