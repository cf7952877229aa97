#ifndef FLAMINGOROUTE_FLEET_DIGEST_BOOK_HPP
#define FLAMINGOROUTE_FLEET_DIGEST_BOOK_HPP

#include "flamingoroute/fleet/region_digest.hpp"
#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace flamingoroute {

/// What relays told lately. Pure.
class digest_book {
public:
    explicit digest_book(region_id own);

    void note(const region_digest& digest, monotonic_time now);

    /// @return the newest sum of each region that is not too old, with its age
    std::vector<region_sum> freshSums(monotonic_time now) const;

    /// @return relays of @p region that were heard lately
    std::vector<endpoint> relaysOf(const region_id& region, monotonic_time now) const;

    /// @return whether a relay of the own region was heard just now that the store answers
    bool hasConnectedRelay(monotonic_time now) const;

    /// @return whether the relay @p name of the own region was heard just now that the store answers
    bool isConnected(const instance_id& name, monotonic_time now) const;

    /// @return how far the connected relay of the own region that is ahead of the others knows a kind, if one is heard
    std::optional<store_position> positionOf(const std::string& kind, monotonic_time now) const;

private:
    struct heard_relay {
        region_digest digest;
        monotonic_time at;
    };

    struct heard_sum {
        region_sum sum;
        monotonic_time at; ///< when it was added up, by this instance's clock
    };

    void noteSum(const region_sum& sum, monotonic_time now);
    bool isConnected(const heard_relay& relay, monotonic_time now) const;

    region_id m_own;
    std::map<instance_id, heard_relay> m_relays;
    std::map<region_id, heard_sum> m_sums;
};

} // namespace flamingoroute

#endif
