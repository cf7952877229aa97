#include "flamingoroute/fleet/retry_split.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// The shares add up to less than the bounds: a restarted instance gets new tokens within the same window.
constexpr double usedFraction = 0.7;

} // namespace

retry_split::retry_split(const fleet_bounds& bounds)
    : m_ratio(usedFraction * bounds.retryRatio)
    , m_slack(usedFraction * bounds.retrySlack)
{
}

double retry_split::depth(std::size_t members) const
{
    return std::max(1.0, m_slack / static_cast<double>(std::max<std::size_t>(1, members)));
}

void retry_split::recordRequest(const service_id& service, std::size_t members)
{
    const double maxTokens = depth(members);
    auto& tokens = m_tokens.try_emplace(service, maxTokens / 2).first->second;
    tokens = std::min(maxTokens, tokens + m_ratio);
}

bool retry_split::takeRetry(const service_id& service, std::size_t members)
{
    auto& tokens = m_tokens.try_emplace(service, depth(members) / 2).first->second;
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

} // namespace flamingoroute
