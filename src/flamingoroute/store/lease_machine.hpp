#ifndef FLAMINGOROUTE_STORE_LEASE_MACHINE_HPP
#define FLAMINGOROUTE_STORE_LEASE_MACHINE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/lease_call.hpp"
#include "flamingoroute/store/lease_record.hpp"
#include "flamingoroute/store/lease_settings.hpp"

#include <tl/expected.hpp>

#include <optional>

namespace flamingoroute {

/// Decides when to take, renew and release a lease. Only the monotonic clock is used, and clocks are never compared:
/// the holder counts its term from before it asked, a taker waits the whole term, plus drift, from after it first saw
/// the object at its version.
class lease_machine {
public:
    explicit lease_machine(lease_settings settings);

    /// @param isExpected whether to hold the lease; once no longer wanted, it is released
    void setWanted(bool isWanted) { m_isWanted = isWanted; }

    /// @return the call to be made now; at most one at a time
    lease_call next(monotonic_time now) const;

    /// A read was answered.
    /// @param answer the object, or why there is none
    /// @param now after the answer
    void onRead(const tl::expected<stored_object, error>& answer, monotonic_time now);

    /// A create or update was answered.
    /// @param made what was asked
    /// @param requestedAt before the call was made
    /// @param answer the new version, or why there is none
    void onWritten(const lease_call& made, monotonic_time askedAt, const tl::expected<object_version, error>& answer,
        monotonic_time now);

    /// @return whether this process may act under the lease
    bool isHeld(monotonic_time now) const { return m_epoch != 0 && now < m_heldUntil; }

    /// @return the epoch of the current term; zero if the lease is not held
    object_version epoch(monotonic_time now) const { return isHeld(now) ? m_epoch : 0; }

    /// @return until when the lease is held without a renewal
    monotonic_time heldUntil() const { return m_heldUntil; }

    /// @return who holds the lease as last seen; empty if nobody or not known
    const std::string& seenHolder() const { return m_seen.holder; }

private:
    bool isMine(const lease_record& record) const;
    bool isTakeable(monotonic_time now) const;
    void noteOwn(const lease_record& record, object_version version, monotonic_time askedAt);
    lease_call write(bool isRelease) const;

    lease_settings m_settings;
    bool m_isWanted = true;
    bool m_isSeen = false; ///< the object, or its absence, has been read
    object_version m_version = 0; ///< zero: there is no object
    lease_record m_seen;
    monotonic_time m_firstSeen;
    monotonic_time m_nextCall;
    monotonic_time m_heldUntil;
    object_version m_epoch = 0;
    std::uint64_t m_sequence = 1; ///< of the next write; goes up once a write is settled
    std::optional<monotonic_time> m_unsettledSince; ///< a write was made whose effect is not known
};

} // namespace flamingoroute

#endif
