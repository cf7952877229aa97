#ifndef FLAMINGOROUTE_FLEET_FLEET_MEMBERS_HPP
#define FLAMINGOROUTE_FLEET_FLEET_MEMBERS_HPP

#include "flamingoroute/fleet/demand_history.hpp"
#include "flamingoroute/fleet/digest_book.hpp"
#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/fleet/rate_split.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <vector>

namespace flamingoroute {

/// The instances of the fleet: those that registered in the store, and what was last heard of each. Pure.
class fleet_members {
public:
    explicit fleet_members(member self);

    /// Told of a registered instance. One that is registered but never heard counts for shares, and is no help.
    void noteRegistered(const member& which, monotonic_time now);
    void noteUnregistered(const instance_id& which);

    /// Told of a report that another instance sent.
    void noteReport(const fleet_report& report, monotonic_time now);

    /// Told of a relay's digest.
    void noteDigest(const region_digest& digest, monotonic_time now);

    /// Told of the report that this instance sends. Parts of rates follow what was reported, this instance's too, so
    /// that all instances split by the same numbers.
    void noteOwnReport(const fleet_report& report, monotonic_time now);

    void setSelfReady(bool isReady) { m_isSelfReady = isReady; }
    bool isSelfReady() const { return m_isSelfReady; }

    /// @return all instances that may act, this one included, heard or not
    std::size_t size() const { return m_others.size() + 1; }

    /// @return instances heard lately, this one included
    std::size_t reachableCount(monotonic_time now) const;

    /// @return how many instances heard lately have a lower name than this one
    std::size_t rankAmongReachable(monotonic_time now) const;

    /// @return whether the instance has been silent for so long that its registration may be deleted
    bool isLost(const instance_id& which, monotonic_time now) const;

    /// @return the others, to send reports to
    std::vector<member> others() const;

    /// @return whether the fleet is so large that reports go through relays
    bool usesRelays() const;

    /// @return whether this instance is a relay of its region, or each instance reads the store for itself
    bool isRelay(monotonic_time now) const;

    /// @return whether this relay tells sums and passes changes on: the first one, or the second while the first is not
    ///         heard or has lost the store
    bool isFirstRelay(monotonic_time now) const;

    /// @return the relays of this instance's region, without this instance
    std::vector<member> relays(monotonic_time now) const;

    /// @return the other instances of this instance's region
    std::vector<member> regionOthers() const;

    /// @return where relays of other regions are, as far as is known
    std::vector<endpoint> relaysOfOtherRegions(monotonic_time now) const;

    /// @return what the instances of this region reported to this one, added up
    region_sum sumOfRegion(monotonic_time now) const;

    /// @return whom of its region this instance hears, itself included
    std::vector<member_sight> memberReadiness(monotonic_time now) const;

    const digest_book& digests() const { return m_digests; }

    /// @return what others counted of versions under roll-out
    std::vector<version_tally> talliesOfOthers(monotonic_time now) const;

    /// @return what this instance and the others reported of a customer
    demand_view demandFor(const customer_id& customer, monotonic_time now) const;

    /// @return instances that take callers, nearest first: of the domain, else of the region, else of any
    std::vector<member> nearestReady(
        const failure_domain_id& domain, const region_id& region, monotonic_time now) const;

    /// @return names of all instances of @p region, this one included if it is there, sorted
    std::vector<instance_id> instancesIn(const region_id& region) const;

    const member& self() const { return m_self; }

private:
    struct other_member {
        member where;
        fleet_report report;
        monotonic_time heardAt = monotonic_time::min(); ///< by its own report or a relay's word
        monotonic_time reportedAt = monotonic_time::min(); ///< by its own report
        monotonic_time knownSince;
        bool isSeenReady = false; ///< takes callers, by its own word or a relay's
    };

    bool isFresh(const other_member& which, monotonic_time now) const;
    bool isReporting(const other_member& which, monotonic_time now) const;
    std::vector<instance_id> relayNames(monotonic_time now) const;
    demand_view ownDemand(const customer_id& customer) const;
    demand_view demandOfDigests(const customer_id& customer, monotonic_time now) const;

    member m_self;
    fleet_report m_ownReport;
    demand_history m_ownDemands;
    digest_book m_digests;
    bool m_isSelfReady = false;
    std::map<instance_id, other_member> m_others;
};

} // namespace flamingoroute

#endif
