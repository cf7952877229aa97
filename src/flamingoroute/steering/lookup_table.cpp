#include "flamingoroute/steering/lookup_table.hpp"

#include "flamingoroute/steering/internal/address_key.hpp"
#include "flamingoroute/steering/internal/block_ranges.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr milliseconds unknownDistance { 1'000'000 };

struct scored_member {
    std::uint64_t score = 0;
    std::size_t round = 0; ///< how many of the same failure domain score higher
    const member* target = nullptr;
};

milliseconds distanceBetween(const configuration& current, const region_id& from, const region_id& to)
{
    for (const auto& regionEntry : current.regions) {
        for (const auto& link : regionEntry.links) {
            const bool isForward = regionEntry.name == from && link.to == to;
            const bool isBackward = regionEntry.name == to && link.to == from;
            if (isForward || isBackward)
                return link.distance;
        }
    }
    return unknownDistance;
}

} // namespace

struct lookup_table::domain_group {
    failure_domain_id name;
    std::vector<std::uint32_t> members; ///< indexes into m_members
    std::vector<std::uint64_t> hashes; ///< of their names
};

struct lookup_table::region_group {
    region_id name;
    std::vector<domain_group> domains;
    std::vector<std::uint32_t> nearest; ///< the other regions, nearest first
};

lookup_table::lookup_table(
    const configuration& current, std::vector<member> live, const region_id& fallbackRegion, lookup_settings settings)
    : m_settings(settings)
    , m_members(std::move(live))
{
    addRegions(current, fallbackRegion);
    addMembers();
    addBlocks(current);
}

lookup_table::~lookup_table() = default;

void lookup_table::addRegions(const configuration& current, const region_id& fallbackRegion)
{
    std::vector<region_id> names { fallbackRegion };
    for (const auto& regionEntry : current.regions)
        names.push_back(regionEntry.name);
    for (const auto& block : current.clientBlocks)
        names.push_back(block.region);
    for (const auto& target : m_members)
        names.push_back(target.region);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    for (const auto& name : names)
        m_regions.push_back({ name, {}, {} });
    m_fallback = indexOf(fallbackRegion);
    for (std::uint32_t from = 0; from < names.size(); ++from) {
        std::vector<std::pair<milliseconds, std::uint32_t>> others;
        for (std::uint32_t to = 0; to < names.size(); ++to) {
            if (to != from)
                others.emplace_back(distanceBetween(current, names[from], names[to]), to);
        }
        std::sort(others.begin(), others.end());
        for (const auto& other : others)
            m_regions[from].nearest.push_back(other.second);
    }
}

void lookup_table::addMembers()
{
    for (std::uint32_t index = 0; index < m_members.size(); ++index) {
        const auto& target = m_members[index];
        auto& domains = m_regions[indexOf(target.region)].domains;
        auto group = std::find_if(domains.begin(), domains.end(),
            [&](const domain_group& candidate) { return candidate.name == target.failureDomain; });
        if (group == domains.end())
            group = domains.insert(domains.end(), { target.failureDomain, {}, {} });
        group->members.push_back(index);
        group->hashes.push_back(hash64(target.instance.value()));
    }
}

void lookup_table::addBlocks(const configuration& current)
{
    std::vector<address_block> blocks;
    blocks.reserve(current.clientBlocks.size());
    for (const auto& block : current.clientBlocks) {
        if (const auto range = parseRange(block.range))
            blocks.push_back({ *range, indexOf(block.region) });
    }
    const auto starts = flattenBlocks(std::move(blocks), m_fallback);
    m_starts.reserve(starts.size());
    m_regionOfRange.reserve(starts.size());
    for (const auto& start : starts) {
        m_starts.push_back(start.first);
        m_regionOfRange.push_back(start.value);
    }
}

std::uint32_t lookup_table::indexOf(const region_id& name) const
{
    const auto found = std::lower_bound(m_regions.begin(), m_regions.end(), name,
        [](const region_group& group, const region_id& region) { return group.name < region; });
    return static_cast<std::uint32_t>(found - m_regions.begin());
}

std::uint32_t lookup_table::regionIndexOf(const std::string& clientAddress) const
{
    const auto key = parseAddress(clientAddress);
    if (!key)
        return m_fallback;
    const auto after = std::upper_bound(m_starts.begin(), m_starts.end(), *key);
    return m_regionOfRange[static_cast<std::size_t>(after - m_starts.begin()) - 1];
}

const region_id& lookup_table::regionOf(const std::string& clientAddress) const
{
    return m_regions[regionIndexOf(clientAddress)].name;
}

lookup_answer lookup_table::lookup(const std::string& clientAddress) const
{
    lookup_answer answer;
    answer.timeToLive = m_settings.timeToLive;
    answer.instances.reserve(m_settings.maxInstances);
    const auto clientHash = hash64(clientAddress);
    const auto& home = m_regions[regionIndexOf(clientAddress)];
    addInstances(home, clientHash, m_settings.maxInstancesOfOwnRegion, answer);
    for (const auto index : home.nearest) {
        if (answer.instances.size() >= m_settings.maxInstances)
            break;
        addInstances(m_regions[index], clientHash, m_settings.maxInstances, answer);
    }
    return answer;
}

void lookup_table::addInstances(
    const region_group& group, std::uint64_t clientHash, std::size_t limit, lookup_answer& answer) const
{
    const auto wanted = std::min(limit, m_settings.maxInstances) - answer.instances.size();
    std::vector<scored_member> scored;
    for (const auto& domain : group.domains) {
        const auto first = scored.size();
        for (std::size_t i = 0; i < domain.members.size(); ++i)
            scored.push_back({ mix64(clientHash ^ domain.hashes[i]), 0, &m_members[domain.members[i]] });
        const auto begin = scored.begin() + static_cast<std::ptrdiff_t>(first);
        const auto kept = std::min(wanted, domain.members.size());
        std::partial_sort(begin, begin + static_cast<std::ptrdiff_t>(kept), scored.end(),
            [](const scored_member& left, const scored_member& right) { return left.score > right.score; });
        scored.resize(first + kept);
        for (std::size_t i = first; i < scored.size(); ++i)
            scored[i].round = i - first;
    }
    const auto taken = std::min(wanted, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(taken), scored.end(),
        [](const scored_member& left, const scored_member& right) {
            return left.round != right.round ? left.round < right.round : left.score > right.score;
        });
    for (std::size_t i = 0; i < taken; ++i)
        answer.instances.push_back(scored[i].target);
}

} // namespace flamingoroute
