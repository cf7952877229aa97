#ifndef FLAMINGOROUTE_KEYS_KEY_AUTHENTICATOR_HPP
#define FLAMINGOROUTE_KEYS_KEY_AUTHENTICATOR_HPP

#include "flamingoroute/keys/key_hasher.hpp"
#include "flamingoroute/keys/key_withdrawal.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/refusal.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <mutex>
#include <string>

namespace flamingoroute {

struct key_snapshot;

/// Finds the customer whose key a request carries. Safe to call from any thread; to be called for each request, not
/// each connection, and again when a request leaves a queue.
class key_authenticator {
public:
    /// @param now the clock, for keys with a max_staleness
    key_authenticator(key_hasher hasher, monotonic_clock now);
    ~key_authenticator();

    /// Replaces the keys by those of an active configuration. A lower revision is ignored.
    void adopt(const configuration_ptr& objects);

    /// Refuses a key at once, ahead of the configuration that withdraws it.
    /// @return false if the withdrawal was known already, so that its flooding ends
    bool withdraw(const key_withdrawal& withdrawal);

    /// Records that the active configuration was confirmed at @p confirmedAt as the newest one in the platform.
    void confirmFresh(monotonic_time confirmedAt);

    /// @param key what the caller presented
    /// @return the customer whose key it is; `missing_key`, `wrong_key`, or `not_ready` if the key's max_staleness
    ///         has passed without confirmation by the platform
    tl::expected<customer_id, refusal> authenticate(const std::string& key) const;

private:
    std::shared_ptr<const key_snapshot> snapshot() const;

    key_hasher m_hasher;
    monotonic_clock m_now;
    mutable std::mutex m_mutex; ///< guards the pointer and the time; not held while hashes are compared
    std::shared_ptr<const key_snapshot> m_snapshot;
    monotonic_time m_freshAt;
};

} // namespace flamingoroute

#endif
