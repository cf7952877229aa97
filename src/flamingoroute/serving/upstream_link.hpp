#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_LINK_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_LINK_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <set>

namespace flamingoroute {

/// Whether this instance can connect to upstreams at all, or is partitioned from all of them. Attempts only arouse a
/// suspicion, since single upstreams fail, too; a check that connects to several upstreams confirms it or dispels it.
/// Pure: no I/O, clocks or threads.
class upstream_link {
public:
    /// Called when an attempt begins and when it ends in any way.
    void recordAttemptBegin(monotonic_time now);
    void recordAttemptEnd();

    /// Called when an upstream accepted a connection.
    void recordConnected(monotonic_time now);

    /// Called for each answer of an upstream. Connections that are open may live on while new ones are refused.
    void recordAnswer(monotonic_time now);

    /// Called when an upstream accepted no connection.
    void recordUnreachable(const upstream_id& upstream) { m_unreachable.insert(upstream); }

    /// Called when an open connection was lost or gave no answer in time.
    void recordLost(const upstream_id& upstream) { m_lost.insert(upstream); }

    /// @return whether a check should begin
    bool isCheckDue(monotonic_time now) const;

    /// Called when a check begins; none other is due until recordCheck().
    void beginCheck(monotonic_time now);

    /// Called with the result of a check.
    /// @param hasConnected whether any of the upstreams accepted a connection
    void recordCheck(bool hasConnected, monotonic_time now);

    /// @return whether attempts at several upstreams have failed since one succeeded, or a check has
    bool isSuspect() const;

    /// @return whether the last check reached no upstream
    bool isPartitioned() const { return m_isPartitioned; }

    /// @return when an upstream last accepted a connection
    monotonic_time lastConnectedAt() const { return m_lastConnectedAt; }

private:
    bool isSilent(monotonic_time now) const;

    std::set<upstream_id> m_unreachable; ///< since an upstream last accepted a connection
    std::set<upstream_id> m_lost; ///< since an upstream last answered
    int m_openAttempts = 0;
    monotonic_time m_busySince; ///< at least one attempt has been open since
    monotonic_time m_lastConnectedAt;
    monotonic_time m_lastReachedAt; ///< last connection or answer
    monotonic_time m_nextCheckAt;
    bool m_isChecking = false;
    bool m_isPartitioned = false;
};

} // namespace flamingoroute

#endif
