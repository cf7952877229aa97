#include "flamingoroute/fleet/digest_cache.hpp"

#include "flamingoroute/fleet/demand_list.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Three consecutive missed digests.
constexpr microseconds relayFreshFor { 1'700'000 };
constexpr microseconds sumFreshFor { 4'000'000 };
/// Two consecutive missed digests.
constexpr microseconds firstRelayFreshFor { 1'200'000 };
constexpr double millisecondsPerSecond = 1000;

std::uint32_t ageInMs(monotonic_time at, monotonic_time now)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - at).count());
}

} // namespace

digest_cache::digest_cache(region_id localRegion)
    : m_localRegion(std::move(localRegion))
{
}

void digest_cache::recordRegionSum(const region_sum& sum, monotonic_time now)
{
    const auto summedAt = now - milliseconds(sum.ageMs);
    auto& known = m_sums[region_id(sum.region)];
    if (!known.sum.region.empty() && summedAt <= known.at)
        return;
    known = { sum, summedAt };
    sortByCustomer(known.sum.demand);
}

bool digest_cache::record(const region_digest& digest, monotonic_time now)
{
    const auto known = m_relays.find(instance_id(digest.sender));
    // After a step of the clock, numbers of a new process may be lower than those of the one before.
    const bool isRecent = known != m_relays.end() && now - known->second.at < relayFreshFor;
    if (isRecent && digest.number < known->second.digest.number)
        return false;
    m_relays[instance_id(digest.sender)] = { digest, now };
    if (!digest.hasSums)
        return true;
    recordRegionSum(digest.sum, now);
    for (const auto& sum : digest.others) {
        if (sum.region != m_localRegion.value())
            recordRegionSum(sum, now);
    }
    return true;
}

std::vector<region_sum> digest_cache::freshSums(monotonic_time now) const
{
    std::vector<region_sum> result;
    for (const auto& [region, known] : m_sums) {
        if (now - known.at >= sumFreshFor)
            continue;
        result.push_back(known.sum);
        result.back().ageMs = ageInMs(known.at, now);
    }
    return result;
}

std::vector<version_tally> digest_cache::freshTallies(monotonic_time now) const
{
    std::vector<version_tally> result;
    for (const auto& [region, known] : m_sums) {
        if (now - known.at < sumFreshFor)
            result.insert(result.end(), known.sum.tallies.begin(), known.sum.tallies.end());
    }
    return result;
}

fleet_demand digest_cache::demandOf(const customer_id& customer, monotonic_time now) const
{
    fleet_demand total;
    for (const auto& [region, known] : m_sums) {
        if (now - known.at >= sumFreshFor)
            continue;
        total.reachable += known.sum.reachable;
        total.withFullWindow += known.sum.withFullWindow;
        total.age = std::max(total.age, ageInMs(known.at, now) / millisecondsPerSecond);
        const auto* demand = findDemand(known.sum.demand, customer);
        if (demand == nullptr)
            continue;
        total.perSecond += demand->perSecond;
        total.admitted += demand->admitted;
    }
    return total;
}

std::vector<endpoint> digest_cache::relaysOf(const region_id& region, monotonic_time now) const
{
    std::vector<endpoint> result;
    for (const auto& [name, relay] : m_relays) {
        endpoint address;
        const bool isReachable = relay.digest.sum.region == region.value() && now - relay.at < relayFreshFor;
        if (isReachable && parseEndpoint(relay.digest.senderAddress, address))
            result.push_back(address);
    }
    return result;
}

bool digest_cache::isConnected(const relay_entry& relay, monotonic_time now) const
{
    return relay.digest.sum.region == m_localRegion.value() && relay.digest.isStoreConnected
        && now - relay.at < relayFreshFor;
}

bool digest_cache::hasConnectedRelay(monotonic_time now) const
{
    return std::any_of(
        m_relays.begin(), m_relays.end(), [&](const auto& entry) { return isConnected(entry.second, now); });
}

bool digest_cache::isConnected(const instance_id& name, monotonic_time now) const
{
    const auto relay = m_relays.find(name);
    return relay != m_relays.end() && isConnected(relay->second, now) && now - relay->second.at < firstRelayFreshFor;
}

std::optional<store_position> digest_cache::positionOf(const std::string& kind, monotonic_time now) const
{
    std::optional<store_position> farthest;
    for (const auto& [name, relay] : m_relays) {
        if (!isConnected(relay, now))
            continue;
        for (const auto& known : relay.digest.positions) {
            const bool isFarther = !farthest || known.position.revision > farthest->revision;
            if (known.kind == kind && isFarther)
                farthest = known.position;
        }
    }
    return farthest;
}

} // namespace flamingoroute
