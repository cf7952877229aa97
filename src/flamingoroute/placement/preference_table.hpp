#ifndef FLAMINGOROUTE_PLACEMENT_PREFERENCE_TABLE_HPP
#define FLAMINGOROUTE_PLACEMENT_PREFERENCE_TABLE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/placement/region_shares.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace flamingoroute {

struct upstream_state;

/// An upstream with its share of all objects.
struct weighted_upstream {
    const upstream_state* upstream = nullptr;
    std::uint64_t nameHash = 0; ///< hash64 of its name
    double weight = 0; ///< of the objects whose requests arrive in the local region, 0 to 1
    bool isLocal = false;
};

/// Splits the requests that arrive in the local region over the regions, by their capacities.
using share_plan = std::function<std::map<region_id, double>(const std::map<region_id, region_capacity>&)>;

/// The upstreams among which the objects of a service are distributed, with stable weights. Pure: no I/O, clocks or
/// threads.
///
/// Each object has its own order of preference over all upstreams of the table, by weighted rendezvous hashing. Whether
/// an upstream may be used at the moment does not change the weights: it is passed over in the order, so that only its
/// own objects move, each to the next one in its order. An upstream that vanishes from the list keeps its part of the
/// region's capacity for some time, because most return soon.
class preference_table {
public:
    using usable_test = std::function<bool(const weighted_upstream&)>;

    /// @param regions all regions with their demand
    preference_table(region_id localRegion, std::map<region_id, region_capacity> regions, share_plan plan);

    /// Replaces the list.
    /// @param upstreams valid until the next call
    void assign(const std::vector<const upstream_state*>& upstreams, monotonic_time now);

    /// @return when the weights change next without a change of the list; the greatest time if they do not
    monotonic_time nextChangeAt() const;

    const std::vector<weighted_upstream>& entries() const { return m_entries; }

    /// @return the share of the requests that is planned to run in other regions, 0 to 1
    double remoteShare() const { return m_remoteShare; }

    /// @return the same with the capacity of the upstreams that pass @p isUsable only; remoteShare() if none does
    double remoteShareOf(const usable_test& isUsable) const;

    /// @param count the longest result
    /// @return the first usable upstreams in the object's order of preference
    std::vector<weighted_upstream> firstOf(
        std::uint64_t objectHash, std::size_t count, const usable_test& isUsable) const;

private:
    /// Capacity of an upstream that has vanished from the list.
    struct vanished_upstream {
        region_id region;
        int slots = 0;
        monotonic_time forgottenAt;
    };

    void recordVanished(const std::map<upstream_id, vanished_upstream>& before, monotonic_time now);
    double remoteShareIn(const std::map<region_id, double>& shares) const;

    region_id m_localRegion;
    std::map<region_id, region_capacity> m_regions;
    share_plan m_plan;
    std::vector<weighted_upstream> m_entries;
    std::map<upstream_id, vanished_upstream> m_listed;
    std::map<upstream_id, vanished_upstream> m_vanished;
    double m_remoteShare = 0;
};

} // namespace flamingoroute

#endif
