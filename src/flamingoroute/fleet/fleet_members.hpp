#ifndef FLAMINGOROUTE_FLEET_FLEET_MEMBERS_HPP
#define FLAMINGOROUTE_FLEET_FLEET_MEMBERS_HPP

#include "flamingoroute/fleet/demand_history.hpp"
#include "flamingoroute/fleet/digest_cache.hpp"
#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/fleet/rate_split.hpp"
#include "flamingoroute/fleet/region_index.hpp"
#include "flamingoroute/fleet/relay_choice.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace flamingoroute {

struct forward_receiver;
struct member_range;

/// The instances of the fleet that are registered in the store or send reports, with the latest report of each. Pure:
/// no I/O, clocks or threads.
class fleet_members {
public:
    explicit fleet_members(member self);

    /// Adds a registered instance. An instance without reports counts for shares but receives no callers.
    void recordRegistered(const member& registered, monotonic_time now);
    void removeRegistered(const instance_id& instance);

    /// Records a report of another instance.
    void recordReport(const fleet_report& report, monotonic_time now);

    /// Records the digest of a relay.
    /// @return false if the digest was ignored because it is late
    bool recordDigest(const region_digest& digest, monotonic_time now);

    /// Records the report that this instance sends. Rate shares follow reported numbers, also those of this instance,
    /// so that all instances split a rate by the same numbers.
    void recordLocalReport(const fleet_report& report, monotonic_time now);

    void setSelfReady(bool isReady);
    bool isSelfReady() const { return m_isSelfReady; }

    void setSelfReachesUpstreams(bool reaches) { m_selfReachesUpstreams = reaches; }
    bool selfReachesUpstreams() const { return m_selfReachesUpstreams; }

    /// @return the number of known instances, reachable or not, including this one
    std::size_t size() const { return m_others.size() + 1; }

    /// @return the number of reachable instances, including this one
    std::size_t reachableCount(monotonic_time now) const;

    /// @return the number of reachable instances with a lower name than this one
    std::size_t rankAmongReachable(monotonic_time now) const;

    /// @return whether the instance has been unreachable for so long that its registration may be deleted
    bool isLost(const instance_id& instance, monotonic_time now) const;

    /// @return the instances that isLost() holds for
    std::vector<instance_id> lostMembers(monotonic_time now) const;

    /// @return all other instances
    std::vector<member> others() const;

    /// @return whether the fleet is so large that reports go through relays
    bool usesRelays() const;

    /// @return whether this instance is a relay of its region, or there are no relays and each instance reads the store
    bool isRelay(monotonic_time now) const;

    /// @return whether this relay sends sums and forwards changes: the first one, or the second while the first is
    ///         unreachable or not connected to the store
    bool isFirstRelay(monotonic_time now) const;

    /// @return the relays of this instance's region, without this instance
    std::vector<member> relays(monotonic_time now) const;

    /// @return the other instances of this instance's region
    std::vector<member> regionOthers() const;

    /// @return the other instances of this instance's region, as receivers of a message that they forward to each other
    std::vector<forward_receiver> regionReceivers(monotonic_time now) const;

    /// @return those of regionReceivers() that are in @p range
    std::vector<forward_receiver> receiversIn(const member_range& range, monotonic_time now) const;

    /// @return the addresses of the relays of other regions, as far as they are known
    std::vector<endpoint> relaysOfOtherRegions(monotonic_time now) const;

    /// @return the sum of the reports that this instance received from its region, its own included
    region_sum sumOfRegion(monotonic_time now) const;

    /// @return the instances of the region that report to this one, including itself, and whether each is ready
    std::vector<member_readiness> memberReadiness(monotonic_time now) const;

    const digest_cache& digests() const { return m_digests; }

    /// @return the tallies of the other instances for versions under roll-out
    std::vector<version_tally> talliesOfOthers(monotonic_time now) const;

    /// @return the demand of a customer as reported by this instance and the others
    demand_view demandFor(const customer_id& customer, monotonic_time now) const;

    /// @return the other ready instances that reach upstreams and accept forwarded requests: those of the own region,
    /// or
    ///         of all regions if it has none
    std::vector<member> forwardingPeers(monotonic_time now) const;

    /// @return the ready instances of the failure domain; if there are none, of the region; else all ready ones. Those
    ///         that are partitioned from all upstreams count as not ready while there are others.
    std::vector<member> nearestReady(
        const failure_domain_id& domain, const region_id& region, monotonic_time now) const;

    /// @return all instances of @p region, including this one if it belongs to it
    const instance_group& instancesIn(const region_id& region) const { return m_regions.of(region); }

    const member& self() const { return m_self; }

private:
    struct other_member {
        member memberInfo;
        fleet_report report;
        monotonic_time lastSeenAt = monotonic_time::min(); ///< last report or relay digest
        monotonic_time lastReportAt = monotonic_time::min(); ///< last report of its own
        monotonic_time knownSince;
        bool isReportedReady = false; ///< accepts callers, by its own report or a relay digest
        bool reachesUpstreams = true; ///< by its own report or a relay digest
    };

    other_member& entryOf(const member& memberInfo, monotonic_time now);
    void setMemberInfo(other_member& entry, const member& memberInfo);
    void setReportedReady(other_member& entry, bool isReady, monotonic_time now);
    bool isFresh(const other_member& other, monotonic_time now) const;
    bool isReporting(const other_member& other, monotonic_time now) const;
    std::vector<const member*> readyMembers(bool isReachRequired, monotonic_time now) const;
    forward_receiver receiverFrom(const other_member& other, monotonic_time now) const;
    bool isLost(const other_member& other, monotonic_time now) const;
    microseconds freshnessLimit() const;
    const relay_choice& relayChoice(monotonic_time now) const;
    std::vector<relay_candidate> relayCandidates(monotonic_time now) const;
    demand_view localDemand(const customer_id& customer) const;
    demand_view demandFromDigests(const customer_id& customer, monotonic_time now) const;

    member m_self;
    fleet_report m_localReport;
    demand_history m_localDemands;
    digest_cache m_digests;
    bool m_isSelfReady = false;
    bool m_selfReachesUpstreams = true;
    std::map<instance_id, other_member> m_others;
    region_index m_regions;
    mutable std::optional<relay_choice> m_relayChoice; ///< empty after a change of the candidates
};

} // namespace flamingoroute

#endif
