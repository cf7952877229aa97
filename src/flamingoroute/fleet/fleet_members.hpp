#ifndef FLAMINGOROUTE_FLEET_FLEET_MEMBERS_HPP
#define FLAMINGOROUTE_FLEET_FLEET_MEMBERS_HPP

#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/fleet/rate_split.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <set>
#include <vector>

namespace flamingoroute {

/// The instances of the fleet: those that registered in the store, and what was last heard of each. Pure.
class fleet_members {
public:
    explicit fleet_members(member self);

    /// Told of a registered instance. One that is registered but never heard counts for shares, and is no help.
    void noteRegistered(const member& which, monotonic_time now);
    void noteUnregistered(const instance_id& which);
    /// Takes the whole list of registered instances.
    void replaceRegistered(const std::vector<member>& all, monotonic_time now);

    /// Told of a report that another instance sent.
    void noteReport(const fleet_report& report, monotonic_time now);

    /// Told of the report that this instance sends. Parts of rates follow what was reported, this instance's too, so
    /// that all instances split by the same numbers.
    void noteOwnReport(const fleet_report& report) { m_ownReport = report; }

    void setSelfReady(bool isReady) { m_isSelfReady = isReady; }
    bool isSelfReady() const { return m_isSelfReady; }

    /// @return all instances that may act, this one included, heard or not
    std::size_t size() const { return m_others.size() + 1; }

    /// @return instances heard lately, this one included
    std::size_t heardCount(monotonic_time now) const;

    /// @return whether the instance was heard lately
    bool isHeard(const instance_id& which, monotonic_time now) const;

    /// @return whether the instance has been silent for so long that its registration may be deleted
    bool isLost(const instance_id& which, monotonic_time now) const;

    /// @return the others, to send reports to
    std::vector<member> others() const;

    /// @return the reports of instances heard lately
    std::vector<fleet_report> freshReports(monotonic_time now) const;

    /// @return what this instance and the others reported of a customer
    demand_view demandFor(const customer_id& customer, monotonic_time now) const;

    /// @return instances that take callers, nearest first: of the domain, else of the region, else of any
    std::vector<member> readyNear(const failure_domain_id& domain, const region_id& region, monotonic_time now) const;

    /// @return names of all instances of @p region, this one included if it is there, sorted
    std::vector<instance_id> namesIn(const region_id& region) const;

    const member& self() const { return m_self; }

private:
    struct other_member {
        member where;
        fleet_report report;
        monotonic_time heardAt = monotonic_time::min();
        monotonic_time knownSince;
        bool isRegistered = false;
    };

    bool isFresh(const other_member& which, monotonic_time now) const;

    member m_self;
    fleet_report m_ownReport;
    bool m_isSelfReady = false;
    std::map<instance_id, other_member> m_others;
};

} // namespace flamingoroute

#endif
