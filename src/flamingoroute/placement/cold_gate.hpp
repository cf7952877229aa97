#ifndef FLAMINGOROUTE_PLACEMENT_COLD_GATE_HPP
#define FLAMINGOROUTE_PLACEMENT_COLD_GATE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <vector>

namespace flamingoroute {

/// Keeps the fleet's requests to each cold upstream within its bound without a message: a few instances, picked by
/// rendezvous hashing, may send, each at a fixed part of the bound. Pure.
class cold_gate {
public:
    /// @param self this instance
    /// @param overshoot times the cold rate that one second may hold
    /// @param slack requests that one second may hold beyond that
    cold_gate(instance_id self, double overshoot, double slack);

    /// @param members instances near the upstream that may send, the same list on each of them
    /// @param coldRate requests a second that the upstream bears
    /// @return whether this instance may send it a request now
    bool maySend(const upstream_id& upstream, const std::vector<instance_id>& members, double coldRate,
        monotonic_time now) const;

    /// Counts a request sent to a cold upstream.
    void recordSent(const upstream_id& upstream, monotonic_time now);

private:
    microseconds minInterval(double coldRate) const;

    instance_id m_self;
    double m_overshoot;
    double m_slack;
    std::map<upstream_id, monotonic_time> m_lastSent;
};

} // namespace flamingoroute

#endif
