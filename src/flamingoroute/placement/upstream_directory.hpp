#ifndef FLAMINGOROUTE_PLACEMENT_UPSTREAM_DIRECTORY_HPP
#define FLAMINGOROUTE_PLACEMENT_UPSTREAM_DIRECTORY_HPP

#include "flamingoroute/model/failure_domain.hpp"
#include "flamingoroute/placement/attempt_report.hpp"
#include "flamingoroute/placement/limit_share.hpp"
#include "flamingoroute/placement/upstream_state.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace flamingoroute {

/// All listed upstreams and their measured state. Pure: no I/O, clocks or threads. Callers pass the time.
class upstream_directory {
public:
    /// @param regions region of each failure domain
    explicit upstream_directory(std::map<failure_domain_id, region_id> regions);
    upstream_directory(upstream_directory&&) = default;
    upstream_directory& operator=(upstream_directory&&) = default;

    /// Adds or updates a listed upstream. A new start time or address under a known name resets the measured state. An
    /// upstream that is leaving remains so until it starts again, whatever later entries of the same start say.
    /// @return false if the entry was ignored because a later start of the upstream is known to be leaving
    bool apply(const registered_upstream& entry, monotonic_time now);

    /// Removes an upstream that is no longer listed.
    void remove(const upstream_id& name, monotonic_time now);

    /// Sets the failure domains whose upstreams receive no requests.
    /// @param coldTime how long an upstream counts as cold after the evacuation of its domain ends
    void setEvacuated(const std::set<failure_domain_id>& domains, milliseconds coldTime, monotonic_time now);

    void recordSent(const upstream_id& name, monotonic_time now);

    /// Records the load that an upstream reported to another instance, unless a newer one is known.
    /// @param nameHash the lower half of the hash of the upstream's name
    /// @param requests running or waiting there, those of this instance included
    void recordFleetLoad(std::uint32_t nameHash, int requests, monotonic_time measuredAt);

    /// Counts a request against this instance's share of the limit that the upstream named.
    void takeLimitShare(const upstream_id& name, const limit_share& share, monotonic_time now);

    /// @param coldTime of the service: how long an upstream counts as cold after a back-off
    void recordResult(const upstream_id& name, const attempt_report& report, milliseconds coldTime, monotonic_time now);

    /// Forgets the attempts without an answer since @p since: this instance reached no upstream, so they say nothing
    /// about one.
    void forgetFailuresSince(monotonic_time since);

    /// Records that an answer of the upstream said that it is leaving.
    /// @param startedAtMs the start of the process that answered; an answer of an earlier process is ignored
    /// @return whether this is the first such answer
    bool recordLeaving(const upstream_id& name, std::uint64_t startedAtMs);

    /// @return the upstream, or null
    const upstream_state* find(const upstream_id& name) const;

    /// @return whether the upstream may receive requests at all: not leaving or misdirected, in no evacuated domain
    bool isEligible(const upstream_state& upstream) const;

    /// @return the upstreams of @p service, sorted by name, eligible or not; valid until the next change of the list
    const std::vector<const upstream_state*>& ofService(const service_id& service) const;

    const std::map<upstream_id, upstream_state>& all() const { return m_upstreams; }

    /// @return a number that changes with the list of eligible upstreams, their regions, versions and slots
    std::uint64_t revision() const { return m_revision; }

private:
    /// The last known start of an upstream, kept for some time after its entry was removed.
    struct upstream_start {
        std::uint64_t startedAtMs = 0;
        bool isLeaving = false;
        monotonic_time removedAt;
    };

    upstream_start lastStartOf(const upstream_id& name) const;
    void addToService(const upstream_state& upstream);
    void removeFromService(const upstream_state& upstream);

    std::map<failure_domain_id, region_id> m_regions;
    std::map<upstream_id, upstream_state> m_upstreams;
    std::map<upstream_id, upstream_start> m_removed;
    std::map<service_id, std::vector<const upstream_state*>> m_byService; ///< entries of m_upstreams, sorted by name
    std::unordered_map<std::uint32_t, upstream_state*> m_byShortHash; ///< entries of m_upstreams
    std::set<failure_domain_id> m_evacuated;
    std::uint64_t m_revision = 1;
};

/// @return whether the upstream accepts a request of this instance now, by the limit that it named and by the time for
/// which it asked to receive none
bool acceptsNow(const upstream_state& upstream, monotonic_time now);

/// @return recent time per request divided by the expected time, 1 if as expected; decays to 1 within some seconds, so
/// that a slow upstream is tried again
double currentSlowness(const upstream_state& upstream, monotonic_time now);

/// @return recent share of failed attempts; decays to 0 in the same way
double currentFailureShare(const upstream_state& upstream, monotonic_time now);

/// @return estimated number of requests running or waiting at @p upstream
double estimatedLoad(const upstream_state& upstream, monotonic_time now);

} // namespace flamingoroute

#endif
