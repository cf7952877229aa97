#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_TABLE_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_TABLE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/quarantine_limits.hpp"
#include "flamingoroute/requests/quarantine_notice.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Records which requests make the upstreams that run them fail. Performs no I/O; not thread-safe. Every instance has
/// one, and the instances exchange each broken attempt, so that a request repeated through any instances makes few
/// upstreams fail fleet-wide.
class quarantine_table {
public:
    explicit quarantine_table(quarantine_limits limits);

    /// Records that an upstream failed while running a request, observed by this or another instance.
    /// @param age time since the failure
    /// @return whether it was not recorded before, so that it should be forwarded to other instances
    bool recordBroken(const std::string& fingerprint, const upstream_id& target, microseconds age, monotonic_time now);

    /// Records a complete answer: the request is probably not the cause of failures, but ran next to one that is.
    /// @return whether its broken attempts no longer count, which should be forwarded to other instances
    bool recordAnswered(const std::string& fingerprint, monotonic_time now);

    /// @return the remaining time of the quarantine, or std::nullopt if such requests may run
    std::optional<microseconds> quarantinedFor(const std::string& fingerprint, monotonic_time now) const;

    /// @return the broken attempts that count for a quarantine, one for each upstream, with their ages
    std::vector<quarantine_notice> brokenAttempts(const std::string& fingerprint, monotonic_time now) const;

    /// @return whether no broken attempt or quarantine is recorded
    bool empty() const { return m_entries.empty(); }

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::map<upstream_id, monotonic_time> broken;
        monotonic_time lastBroken = monotonic_time::min();
        monotonic_time quarantinedUntil = monotonic_time::min();
        monotonic_time answeredAt = monotonic_time::min(); ///< only broken attempts after this time count

        /// Counts broken attempts after the last answer. Earlier ones stay in the table so that a late notice of them
        /// is recognised as a duplicate.
        std::size_t countBroken() const;
    };

    struct answered_request {
        std::size_t hash = 0;
        monotonic_time at = monotonic_time::min();
    };

    answered_request& answeredSlot(std::size_t hash) { return m_answered[hash % m_answered.size()]; }
    std::size_t upstreamsNeeded(const std::string& fingerprint, monotonic_time now);
    void evictExpired(monotonic_time now);
    void evictOldestIfFull();

    quarantine_limits m_limits;
    std::map<std::string, entry> m_entries;
    monotonic_time m_nextEviction = monotonic_time::min();
    std::vector<answered_request> m_answered; ///< indexed by hash; a newer entry overwrites an older one in its slot
};

} // namespace flamingoroute

#endif
