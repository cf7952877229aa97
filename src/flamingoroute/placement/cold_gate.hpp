#ifndef FLAMINGOROUTE_PLACEMENT_COLD_GATE_HPP
#define FLAMINGOROUTE_PLACEMENT_COLD_GATE_HPP

#include "flamingoroute/fleet/instance_group.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <map>

namespace flamingoroute {

/// Limits the fleet's request rate to each cold upstream without communication between instances: only a few instances,
/// picked by rendezvous hashing, may send, each at a fixed share of the upstream's bound.
/// Pure: no I/O, clocks or threads.
class cold_gate {
public:
    /// @param localInstance this instance
    /// @param rateFactor allowed requests in one second, as a multiple of the cold rate
    /// @param slack requests allowed in one second in addition
    cold_gate(instance_id localInstance, double rateFactor, double slack);

    /// @param members instances in the upstream's region that may send; should be the same list on each of them. The
    ///        senders are picked anew only for another revision of the group.
    /// @param coldRate requests per second that the upstream can handle while cold; 0: no limit
    /// @return whether this instance may send the upstream a request now
    bool maySend(const upstream_id& upstream, const instance_group& members, double coldRate, monotonic_time now) const;

    /// Records that a request was sent to a cold upstream.
    void recordSent(const upstream_id& upstream, monotonic_time now);

private:
    /// What is known of one cold upstream.
    struct sender_state {
        std::uint64_t membersRevision = 0;
        bool isPicked = false; ///< whether this instance is among the senders of that revision
        bool isKnown = false;
        monotonic_time lastSentAt = monotonic_time::min();
    };

    sender_state& stateOf(const upstream_id& upstream) const;
    microseconds minInterval(double coldRate) const;

    instance_id m_localInstance;
    double m_rateFactor;
    double m_slack;
    mutable std::map<upstream_id, sender_state> m_senders;
};

} // namespace flamingoroute

#endif
