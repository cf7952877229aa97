#include "flamingoroute/moves/error_baseline.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr std::int64_t windowSeconds = 10;
constexpr std::uint64_t minAttempts = 5;
constexpr double recentAttempts = 32;
constexpr double standardDeviations = 1.5; // above the observed share

} // namespace

void error_baseline::add(std::uint64_t attempts, std::uint64_t errors, monotonic_time now)
{
    if (attempts == 0)
        return;
    const auto second = std::chrono::floor<seconds>(now.time_since_epoch()).count();
    if (m_buckets.empty() || m_buckets.back().second != second)
        m_buckets.push_back({ second, 0, 0 });
    m_buckets.back().attempts += attempts;
    m_buckets.back().errors += errors;
    m_attempts += attempts;
    m_errors += errors;
    while (m_buckets.front().second <= second - windowSeconds) {
        m_attempts -= m_buckets.front().attempts;
        m_errors -= m_buckets.front().errors;
        m_buckets.pop_front();
    }
    updateRecent(attempts, errors);
}

double error_baseline::errorShare() const
{
    if (m_attempts < minAttempts)
        return m_recentShare;
    const auto errors = static_cast<double>(m_errors);
    const double upper = (errors + standardDeviations * std::sqrt(errors)) / static_cast<double>(m_attempts);
    return std::max(std::min(upper, 1.0), m_recentShare);
}

void error_baseline::updateRecent(std::uint64_t attempts, std::uint64_t errors)
{
    const double kept = std::pow(1 - 1 / recentAttempts, static_cast<double>(attempts));
    const double share = static_cast<double>(errors) / static_cast<double>(attempts);
    m_recentShare = m_recentShare * kept + share * (1 - kept);
}

} // namespace flamingoroute
