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

/// Decides when to acquire, renew and release a lease. Only the monotonic clock is used, and clocks of different
/// processes are never compared: the holder counts its term from before its request, less drift; a contender waits for
/// the whole term, plus drift, from when it first read the object at its current version. A lease object is never
/// deleted: one that was read before and is missing was lost by the platform, and its holder may still act for a term.
class lease_machine {
public:
    explicit lease_machine(lease_settings settings);

    /// @param isWanted whether to acquire and renew the lease; if false, a held lease is released
    void setWanted(bool isWanted) { m_isWanted = isWanted; }

    /// @return the call to make now; the caller makes at most one call at a time
    lease_call next(monotonic_time now) const;

    /// Called with the result of a read.
    /// @param answer the object, or the error
    /// @param now time after the answer arrived
    void onRead(const tl::expected<stored_object, error>& answer, monotonic_time now);

    /// Called with the result of a create or update.
    /// @param made the call
    /// @param requestedAt time before the call was made
    /// @param answer the new version, or the error
    void onWritten(const lease_call& made, monotonic_time requestedAt,
        const tl::expected<object_version, error>& answer, monotonic_time now);

    /// @return whether this process may act under the lease
    bool isHeld(monotonic_time now) const { return m_epoch != 0 && now < m_heldUntil; }

    /// @return the epoch of the current term; zero if the lease is not held
    object_version epoch(monotonic_time now) const { return isHeld(now) ? m_epoch : 0; }

    /// @return when the lease expires unless it is renewed
    monotonic_time heldUntil() const { return m_heldUntil; }

    /// @return the holder of the lease as last read or written; empty if there was no lease object or it was not read
    /// yet
    const std::string& lastSeenHolder() const { return m_seen.holder; }

private:
    bool isLocalHolder(const lease_record& record) const;
    bool isAcquirable(monotonic_time now) const;
    void recordLocalWrite(const lease_record& record, object_version version, monotonic_time requestedAt);
    lease_call write(bool isRelease) const;

    lease_settings m_settings;
    bool m_isWanted = true;
    bool m_isSeen = false; ///< the object, or its absence, has been read
    object_version m_version = 0; ///< zero: there is no object
    lease_record m_seen;
    monotonic_time m_firstSeen;
    std::optional<monotonic_time> m_lostUntil; ///< while the holder of a lost lease object may still act
    monotonic_time m_nextCall;
    monotonic_time m_heldUntil;
    object_version m_epoch = 0;
    std::uint64_t m_sequence = 1; ///< of the next write; no two writes that may have taken effect share one
    std::uint64_t m_unknownSequence = 0; ///< of the last write with unknown outcome
    std::optional<monotonic_time> m_unknownOutcomeSince; ///< when a write with unknown outcome was requested
};

} // namespace flamingoroute

#endif
