#include "flamingoroute/moves/latency_classifier.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::uint64_t minLatencies = 20;
constexpr std::size_t recentLatencies = 20;
constexpr double comparedQuantile = 0.9;
constexpr double tolerance = 1.25; // times the old version's latency
constexpr microseconds absoluteTolerance { 2000 };
constexpr seconds rotationInterval { 30 };
constexpr milliseconds refreshInterval { 500 };

microseconds addTolerance(microseconds latency)
{
    const microseconds scaled(static_cast<std::int64_t>(static_cast<double>(latency.count()) * tolerance));
    return std::max(scaled, latency + absoluteTolerance);
}

} // namespace

void latency_classifier::addBaseline(microseconds latency, monotonic_time now)
{
    if (now - m_rotatedAt >= rotationInterval && m_current.count() >= minLatencies) {
        m_previous = m_current;
        m_current.clear();
        m_rotatedAt = now;
    }
    m_current.add(latency);
    m_recent.push_back(latency);
    if (m_recent.size() > recentLatencies)
        m_recent.pop_front();
}

std::optional<bool> latency_classifier::isSlow(microseconds latency, monotonic_time now)
{
    if (m_current.count() + m_previous.count() < minLatencies)
        return std::nullopt;
    refresh(now);
    return latency > m_bound && latency > recentBound();
}

void latency_classifier::refresh(monotonic_time now)
{
    const bool hasBaseline = m_countAtRefresh >= minLatencies;
    if (hasBaseline && now - m_refreshedAt < refreshInterval)
        return;
    auto all = m_previous;
    all.add(m_current);
    m_bound = addTolerance(all.quantile(comparedQuantile));
    m_countAtRefresh = all.count();
    m_refreshedAt = now;
}

microseconds latency_classifier::recentBound() const
{
    std::vector<microseconds> sorted(m_recent.begin(), m_recent.end());
    const auto rank = static_cast<std::ptrdiff_t>(comparedQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return addTolerance(sorted[static_cast<std::size_t>(rank)]);
}

} // namespace flamingoroute
