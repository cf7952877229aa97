#ifndef FLAMINGOROUTE_PLACEMENT_UPSTREAM_DIRECTORY_HPP
#define FLAMINGOROUTE_PLACEMENT_UPSTREAM_DIRECTORY_HPP

#include "flamingoroute/model/failure_domain.hpp"
#include "flamingoroute/placement/attempt_report.hpp"
#include "flamingoroute/placement/upstream_state.hpp"

#include <map>
#include <set>
#include <vector>

namespace flamingoroute {

/// All upstreams that are known, and what has been learned of each. Pure: time comes in with each call.
class upstream_directory {
public:
    /// @param regions of each failure domain
    explicit upstream_directory(std::map<failure_domain_id, region_id> regions);

    /// Adds or changes an entry of the list. Another start under a known name forgets what was learned.
    void apply(const listed_upstream& entry, monotonic_time now);

    /// Told that an entry has left the list.
    void remove(const upstream_id& name);

    /// Sets the failure domains whose upstreams get nothing.
    /// @param coldTime how long an upstream is taken for cold after its domain is taken back
    void setEvacuated(const std::set<failure_domain_id>& domains, milliseconds coldTime, monotonic_time now);

    void recordSent(const upstream_id& name);
    /// @param coldTime of the service: how long an upstream that was unreachable is taken for cold
    void recordResult(const upstream_id& name, const attempt_report& report, milliseconds coldTime, monotonic_time now);

    /// @return the upstream, or null
    const upstream_state* find(const upstream_id& name) const;

    /// @return whether the upstream may get requests at all: listed, not leaving, in no evacuated domain
    bool isEligible(const upstream_state& upstream) const;

    /// @return the upstreams of @p service, sorted by name, eligible or not
    std::vector<const upstream_state*> ofService(const service_id& service) const;

    const std::map<upstream_id, upstream_state>& all() const { return m_upstreams; }

private:
    std::map<failure_domain_id, region_id> m_regions;
    std::map<upstream_id, upstream_state> m_upstreams;
    std::map<service_id, std::set<upstream_id>> m_byService;
    std::set<failure_domain_id> m_evacuated;
};

/// @return how slow the upstream was lately, 1 if as expected; forgotten after some seconds, so that it is tried again
double currentSlowness(const upstream_state& upstream, monotonic_time now);

/// @return its part of failed attempts lately, forgotten in the same way
double currentFailureShare(const upstream_state& upstream, monotonic_time now);

/// @return requests that @p upstream holds, running or waiting, as far as is known
double estimatedLoad(const upstream_state& upstream, monotonic_time now);

} // namespace flamingoroute

#endif
