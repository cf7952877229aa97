#include "flamingoroute/keys/key_authenticator.hpp"

#include "flamingoroute/keys/key_snapshot.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t prefixHexDigits = 16;

std::string prefixOf(const std::string& hash) { return hash.substr(0, prefixHexDigits); }

refusal refuse(refusal_reason reason, const std::string& detail)
{
    refusal result;
    result.reason = reason;
    result.execution = execution_state::not_run;
    result.step = "keys.authenticate";
    result.detail = detail;
    return result;
}

} // namespace

key_authenticator::key_authenticator(key_hasher hasher, monotonic_clock now)
    : m_hasher(std::move(hasher))
    , m_now(std::move(now))
    , m_snapshot(std::make_shared<key_snapshot>())
{
}

key_authenticator::~key_authenticator() = default;

std::shared_ptr<const key_snapshot> key_authenticator::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
}

void key_authenticator::adopt(const configuration_ptr& objects)
{
    auto next = std::make_shared<key_snapshot>();
    next->number = objects->number;
    for (const auto& key : objects->keys)
        next->byHashPrefix.emplace(prefixOf(key.hash), key);
    const std::lock_guard lock(m_mutex);
    if (next->number < m_snapshot->number)
        return;
    for (const auto& [key, number] : m_snapshot->withdrawals) {
        if (number > next->number)
            next->withdrawals.emplace(key, number);
    }
    m_snapshot = std::move(next);
}

bool key_authenticator::withdraw(const key_withdrawal& withdrawal)
{
    const key_id name(withdrawal.key);
    const std::lock_guard lock(m_mutex);
    const auto known = m_snapshot->withdrawals.find(name);
    const bool isKnown = known != m_snapshot->withdrawals.end() && known->second >= withdrawal.number;
    if (isKnown || withdrawal.number <= m_snapshot->number)
        return false;
    auto next = std::make_shared<key_snapshot>(*m_snapshot);
    next->withdrawals[name] = withdrawal.number;
    m_snapshot = std::move(next);
    return true;
}

void key_authenticator::confirmFresh(monotonic_time confirmedAt)
{
    const std::lock_guard lock(m_mutex);
    m_freshAt = std::max(m_freshAt, confirmedAt);
}

tl::expected<customer_id, refusal> key_authenticator::authenticate(const std::string& key) const
{
    if (key.empty())
        return tl::unexpected(refuse(refusal_reason::missing_key, "the request carries no key"));
    const auto keys = snapshot();
    const std::string hash = m_hasher.hash(key);
    const access_key* found = nullptr;
    const auto [first, last] = keys->byHashPrefix.equal_range(prefixOf(hash));
    for (auto at = first; at != last; ++at) {
        if (isEqualInConstantTime(at->second.hash, hash))
            found = &at->second;
    }
    if (!found || keys->isWithdrawn(*found))
        return tl::unexpected(refuse(refusal_reason::wrong_key, "the key is not valid"));
    if (found->maxStaleness > seconds { 0 }) {
        const std::lock_guard lock(m_mutex);
        if (m_now() - m_freshAt > found->maxStaleness)
            return tl::unexpected(refuse(
                refusal_reason::not_ready, "the key was not confirmed by the platform within its max_staleness"));
    }
    return found->customer;
}

} // namespace flamingoroute
