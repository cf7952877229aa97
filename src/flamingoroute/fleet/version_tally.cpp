#include "flamingoroute/fleet/version_tally.hpp"

#include <algorithm>
#include <array>

namespace flamingoroute {

namespace {

using count_field = std::uint32_t version_tally::*;

constexpr std::array<count_field, 10> countFields { &version_tally::attempts, &version_tally::failures,
    &version_tally::slow, &version_tally::broken, &version_tally::otherAttempts, &version_tally::otherFailures,
    &version_tally::otherBroken, &version_tally::otherSlow, &version_tally::untimed, &version_tally::otherUntimed };

/// @return the entry of the same upstream in @p entries, or its end
std::vector<upstream_times>::iterator findUpstream(std::vector<upstream_times>& entries, std::uint32_t upstream)
{
    return std::find_if(
        entries.begin(), entries.end(), [&](const upstream_times& entry) { return entry.upstream == upstream; });
}

void addUpstream(std::vector<upstream_times>& entries, const upstream_times& part)
{
    const auto known = findUpstream(entries, part.upstream);
    if (known == entries.end()) {
        entries.push_back(part);
        return;
    }
    known->timed += part.timed;
    known->slow += part.slow;
}

/// Keeps the slowest upstreams, and of the others those with the most attempts.
void shorten(std::vector<upstream_times>& entries)
{
    if (entries.size() <= version_tally::maxUpstreams)
        return;
    std::stable_sort(entries.begin(), entries.end(), [](const upstream_times& left, const upstream_times& right) {
        return left.slow != right.slow ? left.slow > right.slow : left.timed > right.timed;
    });
    entries.resize(version_tally::maxUpstreams);
}

} // namespace

void version_tally::addTimed(std::uint64_t upstreamHash, bool isSlow)
{
    addUpstream(upstreams, { static_cast<std::uint32_t>(upstreamHash), 1, isSlow ? 1U : 0U });
    shorten(upstreams);
}

void version_tally::add(const version_tally& part)
{
    for (const auto field : countFields)
        this->*field += part.*field;
    for (const auto& one : part.upstreams)
        addUpstream(upstreams, one);
    shorten(upstreams);
    ageMs = std::max(ageMs, part.ageMs);
}

void version_tally::subtract(const version_tally& part)
{
    for (const auto field : countFields)
        this->*field -= std::min(this->*field, part.*field);
    for (const auto& one : part.upstreams) {
        const auto known = findUpstream(upstreams, one.upstream);
        if (known == upstreams.end())
            continue;
        known->timed -= std::min(known->timed, one.timed);
        known->slow -= std::min(known->slow, one.slow);
    }
}

void addTallies(std::vector<version_tally>& totals, const std::vector<version_tally>& parts)
{
    for (const auto& part : parts) {
        const auto known = std::find_if(totals.begin(), totals.end(),
            [&](const version_tally& total) { return total.service == part.service && total.version == part.version; });
        if (known == totals.end()) {
            totals.push_back(part);
            continue;
        }
        known->add(part);
    }
}

} // namespace flamingoroute
