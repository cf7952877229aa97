#include "flamingoroute/serving/path_delays.hpp"

namespace flamingoroute {

namespace {

constexpr microseconds ownRegionDelay { 2'000 };
constexpr microseconds otherRegionDelay { 60'000 };
constexpr int smoothingDivisor = 8;

} // namespace

path_delays::path_delays(region_id localRegion)
    : m_localRegion(std::move(localRegion))
{
}

microseconds path_delays::to(const region_id& region) const
{
    const auto known = m_delays.find(region);
    if (known != m_delays.end())
        return known->second;
    return region == m_localRegion ? ownRegionDelay : otherRegionDelay;
}

void path_delays::update(const region_id& region, microseconds connectTime)
{
    const auto [entry, isNew] = m_delays.try_emplace(region, connectTime);
    if (!isNew)
        entry->second += (connectTime - entry->second) / smoothingDivisor;
}

} // namespace flamingoroute
