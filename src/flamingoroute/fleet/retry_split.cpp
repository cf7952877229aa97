#include "flamingoroute/fleet/retry_split.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// The parts are less than the whole: a restarted instance begins anew within the same window.
constexpr double usedPart = 0.7;

} // namespace

retry_split::retry_split(const fleet_bounds& bounds)
    : m_ratio(usedPart * bounds.retryRatio)
    , m_slack(usedPart * bounds.retrySlack)
{
}

double retry_split::depth(std::size_t members) const
{
    return std::max(1.0, m_slack / static_cast<double>(std::max<std::size_t>(1, members)));
}

void retry_split::noteRequest(const service_id& service, std::size_t members)
{
    const double deepest = depth(members);
    auto& tokens = m_tokens.try_emplace(service, deepest / 2).first->second;
    tokens = std::min(deepest, tokens + m_ratio);
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
