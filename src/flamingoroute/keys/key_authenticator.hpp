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

/// Tells whose key a request carries. Safe to call from any thread; to be asked for each request, not each
/// connection, and again when a request leaves a queue.
class key_authenticator {
public:
    /// @param now for keys with a max_staleness
    key_authenticator(key_hasher hasher, monotonic_clock now);
    ~key_authenticator();

    /// Takes over the keys of a configuration in force. A lower revision is ignored.
    void adopt(const configuration_ptr& objects);

    /// Refuses a key at once, ahead of the configuration that withdraws it.
    /// @return false if that was known already, so that a flood ends
    bool withdraw(const key_withdrawal& withdrawal);

    /// The configuration in force was known at @p when to be the newest that the platform holds.
    void confirmFresh(monotonic_time when);

    /// @param key what the caller presented
    /// @return the customer whose key it is; `missing_key`, `wrong_key`, or `not_ready` if the key's max_staleness
    ///         has passed without word from the platform
    tl::expected<customer_id, refusal> authenticate(const std::string& key) const;

private:
    std::shared_ptr<const key_snapshot> snapshot() const;

    key_hasher m_hasher;
    monotonic_clock m_now;
    mutable std::mutex m_mutex; ///< guards the pointer and the time, never held while a key is checked
    std::shared_ptr<const key_snapshot> m_snapshot;
    monotonic_time m_freshAt;
};

} // namespace flamingoroute

#endif
