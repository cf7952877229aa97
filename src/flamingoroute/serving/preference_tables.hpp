#ifndef FLAMINGOROUTE_SERVING_PREFERENCE_TABLES_HPP
#define FLAMINGOROUTE_SERVING_PREFERENCE_TABLES_HPP

#include "flamingoroute/placement/preference_table.hpp"
#include "flamingoroute/serving/upstream_filter.hpp"

#include <list>

namespace flamingoroute {

class upstream_directory;
struct node_settings;

/// @return regions with their demand for a service
std::map<region_id, region_capacity> regionDemand(const node_settings& settings);

/// @return how requests that arrive in the region of this instance are split
share_plan sharePlan(const node_settings& settings);

/// The preference tables of an instance, built at the first use after a change of the list of upstreams and shared by
/// all requests until the next change.
class preference_tables {
public:
    struct shared_table {
        upstream_filter filter;
        preference_table table;
        std::uint64_t revision = 0; ///< of the directory
        monotonic_time rebuildAt;
        monotonic_time measuredAt;
        double usableRemoteShare = 0; ///< planned for the upstreams that were neither cold nor failing as of measuredAt
    };

    /// @return valid until the next call
    const shared_table& of(const upstream_filter& filter, const upstream_directory& upstreams,
        const node_settings& settings, monotonic_time now);

private:
    shared_table& find(const upstream_filter& filter, const node_settings& settings);

    std::list<shared_table> m_tables; ///< last used first
};

} // namespace flamingoroute

#endif
