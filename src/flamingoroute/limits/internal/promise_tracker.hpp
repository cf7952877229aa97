#ifndef FLAMINGOROUTE_LIMITS_INTERNAL_PROMISE_TRACKER_HPP
#define FLAMINGOROUTE_LIMITS_INTERNAL_PROMISE_TRACKER_HPP

#include "flamingoroute/limits/holder_ping.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace flamingoroute {

/// Tracks pings sent to successors, their promises not to take over, and such promises given to holders.
class promise_tracker {
public:
    /// @param localIncarnation sent in pings, so that a promise to an earlier process is ignored
    explicit promise_tracker(incarnation localIncarnation)
        : m_incarnation(localIncarnation)
    {
    }

    /// @return a ping for @p successor, recorded as sent at @p now
    holder_ping makePing(monotonic_time now, const instance_id& successor, std::vector<std::string> customers)
    {
        auto& sent = m_sent[successor];
        sent.emplace_back(++m_sequence, now);
        if (sent.size() > maxRememberedPings)
            sent.pop_front();
        return { m_sequence, m_incarnation, false, std::move(customers) };
    }

    /// Records a promise. It counts from the time when the ping was sent.
    void onPromise(const instance_id& from, const holder_ping& promise)
    {
        if (promise.senderIncarnation != m_incarnation)
            return;
        for (const auto& [sequence, sentAt] : m_sent[from]) {
            if (sequence != promise.sequence)
                continue;
            for (const auto& customer : promise.customers) {
                auto& since = m_promised[{ from, customer }];
                since = std::max(since, sentAt);
            }
        }
    }

    /// @return when the newest ping was sent that @p successor answered with a promise for @p customer; the epoch of
    /// the clock if none
    monotonic_time promisedSince(const instance_id& successor, const customer_id& customer) const
    {
        const auto found = m_promised.find({ successor, customer.value() });
        return found == m_promised.end() ? monotonic_time {} : found->second;
    }

    /// Records a promise given to @p holder.
    void recordGivenPromise(monotonic_time now, const instance_id& holder) { m_givenAt[holder] = m_lastGivenAt = now; }

    /// @return when a promise was last given to any holder
    monotonic_time lastGivenAt() const { return m_lastGivenAt; }

    /// @return when a promise was last given to @p holder
    monotonic_time givenAt(const instance_id& holder) const
    {
        const auto found = m_givenAt.find(holder);
        return found == m_givenAt.end() ? monotonic_time {} : found->second;
    }

private:
    static constexpr std::size_t maxRememberedPings = 8;

    incarnation m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::map<instance_id, std::deque<std::pair<std::uint64_t, monotonic_time>>> m_sent;
    std::map<std::pair<instance_id, std::string>, monotonic_time> m_promised;
    std::map<instance_id, monotonic_time> m_givenAt;
    monotonic_time m_lastGivenAt;
};

} // namespace flamingoroute

#endif
