#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_SELECTOR_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_SELECTOR_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/placement/preference_table.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace flamingoroute {

struct placement_candidate;
struct placement_request;
struct routing_rule;
struct serving_state;
struct upstream_state;
struct version_filter;

/// Properties of a request that the choice of an upstream depends on.
struct selection_query {
    const routing_rule* rule = nullptr;
    service_id service;
    std::optional<std::set<region_id>> homeRegions; ///< regions that may serve the request; empty: all
    std::uint64_t objectHash = 0;
    std::uint64_t requestHash = 0;
    std::set<upstream_id> tried; ///< excluded: already tried for this request
    microseconds objective { 0 }; ///< time left in which an answer has its full value
    microseconds timeLeft { 0 };
    double maxWaitShare = 1; ///< share of the objective that may be spent waiting
};

enum class selection_reason {
    chosen,
    no_upstream, ///< no upstream may receive the request
    no_capacity, ///< the request would wait too long or be answered too late
};

struct selection {
    selection_reason reason = selection_reason::no_upstream;
    upstream_id upstream;
    microseconds expected { 0 };
    microseconds wait { 0 };
    microseconds baseline { 0 }; ///< longest time that a healthy upstream would take
    bool isKnownWarm = false;
    bool isCold = false; ///< the upstream itself, after a start, an evacuation or an outage
};

/// Chooses the upstream for a request: filters the upstreams that may receive it, then places it by object affinity.
class upstream_selector {
public:
    explicit upstream_selector(serving_state& state);

    selection select(const selection_query& query, monotonic_time now) const;

private:
    /// What the bound on the change of a region's share asks of a request.
    enum class shift_bound {
        none,
        stay, ///< in the local region
        leave, ///< for an upstream of another region that has the object cached and a free slot
    };

    bool isAllowed(const upstream_state& upstream, const selection_query& query, const version_filter& versions,
        monotonic_time now) const;
    bool passesColdGate(const upstream_state& upstream, const selection_query& query, monotonic_time now) const;
    std::vector<const upstream_state*> allowedUpstreams(const selection_query& query, monotonic_time now) const;
    shift_bound shiftBound(double plannedShare, monotonic_time now) const;
    bool passesShiftBound(
        const weighted_upstream& candidate, shift_bound bound, const selection_query& query, monotonic_time now) const;

    /// @return whether a request may be sent to an upstream of its table now, unless nothing else is left
    bool isUsable(const upstream_state& upstream, const selection_query& query, monotonic_time now) const;

    /// @return the first usable upstreams in the object's order; those within the bound if there are any
    std::vector<weighted_upstream> firstWithin(const preference_table& table, shift_bound bound,
        const preference_table::usable_test& isUsable, const selection_query& query, monotonic_time now) const;
    std::vector<weighted_upstream> usableUpstreams(const selection_query& query, monotonic_time now) const;

    /// @return the first of @p upstreams, which are used because no other can be
    std::vector<weighted_upstream> lastResorts(
        const std::vector<const upstream_state*>& upstreams, const selection_query& query, monotonic_time now) const;
    placement_candidate candidateFor(
        const upstream_state& upstream, double weight, const selection_query& query, monotonic_time now) const;

    serving_state& m_state;
};

} // namespace flamingoroute

#endif
