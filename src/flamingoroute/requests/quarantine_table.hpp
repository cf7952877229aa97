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

/// Knows which requests break the upstreams that run them. Pure; every instance holds one, and they tell each other of
/// each broken attempt, so that a request repeated through any instances breaks few upstreams fleet-wide.
class quarantine_table {
public:
    explicit quarantine_table(quarantine_limits limits);

    /// Told that an upstream broke off under a request, here or elsewhere.
    /// @param age time since then
    /// @return whether this is news that other instances should hear
    bool recordBroken(const std::string& fingerprint, const upstream_id& target, microseconds age, monotonic_time now);

    /// Told of a whole answer: the request hardly breaks upstreams, it rather ran beside one that does.
    /// @return whether broken attempts of it were forgotten, which other instances should hear
    bool recordAnswered(const std::string& fingerprint, monotonic_time now);

    /// @return for how long such requests are still held off, or nothing if they may run
    std::optional<microseconds> quarantinedFor(const std::string& fingerprint, monotonic_time now) const;

    /// @return whether nothing is known of any request
    bool empty() const { return m_entries.empty(); }

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::map<upstream_id, monotonic_time> broken;
        monotonic_time lastBroken = monotonic_time::min();
        monotonic_time quarantinedUntil = monotonic_time::min();
        monotonic_time answeredAt = monotonic_time::min(); ///< only later broken attempts count

        /// Those before an answer stay in the table so that a late notice of them is no news.
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
    std::vector<answered_request> m_answered; ///< by hash; a newer one takes the place of an older one
};

} // namespace flamingoroute

#endif
