#include "flamingoroute/serving/recent_objects.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

namespace flamingoroute {

namespace {

/// An upstream caches some dozens of objects; one that was not requested within this time may have been evicted.
constexpr microseconds retention { 15'000'000 };
constexpr std::size_t maxEntries = 8192;

std::uint64_t keyOf(std::uint64_t upstreamHash, std::uint64_t objectHash) { return mix64(upstreamHash ^ objectHash); }

} // namespace

void recent_objects::record(std::uint64_t upstreamHash, std::uint64_t objectHash, monotonic_time now)
{
    const auto key = keyOf(upstreamHash, objectHash);
    const auto known = m_entries.find(key);
    if (known != m_entries.end())
        m_byAge.erase(known->second);
    m_byAge.push_front({ key, now });
    m_entries[key] = m_byAge.begin();
    if (m_byAge.size() > maxEntries) {
        m_entries.erase(m_byAge.back().key);
        m_byAge.pop_back();
    }
}

bool recent_objects::isRecent(std::uint64_t upstreamHash, std::uint64_t objectHash, monotonic_time now) const
{
    const auto known = m_entries.find(keyOf(upstreamHash, objectHash));
    return known != m_entries.end() && now - known->second->at < retention;
}

} // namespace flamingoroute
