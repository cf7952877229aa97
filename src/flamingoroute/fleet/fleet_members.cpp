#include "flamingoroute/fleet/fleet_members.hpp"

#include "flamingoroute/fleet/demand_list.hpp"
#include "flamingoroute/fleet/forwarding.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Three consecutive missed reports.
constexpr microseconds freshFor { 1'700'000 };
/// The same for reports through relays, which arrive one hop and one interval later.
constexpr microseconds relayedFreshFor { 3'500'000 };
/// A new instance is a relay candidate for this long without a report: its first one may still be in transit.
constexpr microseconds newMemberGrace { 3'000'000 };
/// Up to this fleet size each instance reports to every other one.
constexpr std::size_t maxMembersWithoutRelays = 16;
/// Longer than any network outage that the fleet should survive without registering again.
constexpr microseconds lostAfter { 30'000'000 };

std::optional<member> memberFrom(const fleet_report& report)
{
    member result;
    result.instance = instance_id(report.instance);
    result.failureDomain = failure_domain_id(report.failureDomain);
    result.region = region_id(report.region);
    const bool isComplete = parseEndpoint(report.callerAddress, result.callerAddress)
        && parseEndpoint(report.peerAddress, result.entryAddress) && !report.instance.empty();
    return isComplete ? std::optional(result) : std::nullopt;
}

} // namespace

fleet_members::fleet_members(member self)
    : m_self(std::move(self))
    , m_digests(m_self.region)
{
    m_regions.add(m_self.region, m_self.instance);
}

void fleet_members::setSelfReady(bool isReady)
{
    m_isSelfReady = isReady;
    m_relayChoice.reset();
}

fleet_members::other_member& fleet_members::entryOf(const member& memberInfo, monotonic_time now)
{
    const auto [entry, isNew] = m_others.try_emplace(memberInfo.instance);
    if (isNew) {
        entry->second.knownSince = now;
        entry->second.memberInfo = memberInfo;
        m_regions.add(memberInfo.region, memberInfo.instance);
        m_relayChoice.reset();
    }
    return entry->second;
}

void fleet_members::setMemberInfo(other_member& entry, const member& memberInfo)
{
    if (entry.memberInfo == memberInfo)
        return;
    m_regions.remove(entry.memberInfo.region, entry.memberInfo.instance);
    m_regions.add(memberInfo.region, memberInfo.instance);
    entry.memberInfo = memberInfo;
    m_relayChoice.reset();
}

void fleet_members::setReportedReady(other_member& entry, bool isReady, monotonic_time now)
{
    if (entry.isReportedReady != isReady || !isFresh(entry, now))
        m_relayChoice.reset();
    entry.isReportedReady = isReady;
    entry.lastSeenAt = now;
}

void fleet_members::recordRegistered(const member& registered, monotonic_time now)
{
    if (registered.instance != m_self.instance)
        setMemberInfo(entryOf(registered, now), registered);
}

void fleet_members::removeRegistered(const instance_id& instance)
{
    const auto known = m_others.find(instance);
    if (known == m_others.end())
        return;
    m_regions.remove(known->second.memberInfo.region, instance);
    m_others.erase(known);
    m_relayChoice.reset();
}

void fleet_members::recordReport(const fleet_report& report, monotonic_time now)
{
    auto sender = memberFrom(report);
    if (!sender || sender->instance == m_self.instance)
        return;
    auto& entry = entryOf(*sender, now);
    sender->linkMbps = entry.memberInfo.linkMbps;
    sender->forwardAddress = entry.memberInfo.forwardAddress;
    setMemberInfo(entry, *sender);
    entry.report = report;
    sortByCustomer(entry.report.demand);
    entry.lastReportAt = now;
    entry.reachesUpstreams = report.reachesUpstreams;
    setReportedReady(entry, report.isReady && !report.isLeaving, now);
}

microseconds fleet_members::freshnessLimit() const { return usesRelays() ? relayedFreshFor : freshFor; }

bool fleet_members::isFresh(const other_member& other, monotonic_time now) const
{
    return other.lastSeenAt != monotonic_time::min() && now - other.lastSeenAt < freshnessLimit();
}

bool fleet_members::isReporting(const other_member& other, monotonic_time now) const
{
    // Ignores relay digests: two relays would keep a terminated instance reachable through each other's digests.
    const bool isRecent = other.lastReportAt != monotonic_time::min() && now - other.lastReportAt < freshFor;
    return isRecent && other.memberInfo.region == m_self.region;
}

std::size_t fleet_members::reachableCount(monotonic_time now) const
{
    const auto reachable = std::count_if(
        m_others.begin(), m_others.end(), [&](const auto& entry) { return isFresh(entry.second, now); });
    return static_cast<std::size_t>(reachable) + 1;
}

std::size_t fleet_members::rankAmongReachable(monotonic_time now) const
{
    const auto lower = std::count_if(m_others.begin(), m_others.end(),
        [&](const auto& entry) { return entry.first < m_self.instance && isFresh(entry.second, now); });
    return static_cast<std::size_t>(lower);
}

bool fleet_members::isLost(const instance_id& instance, monotonic_time now) const
{
    const auto known = m_others.find(instance);
    return known != m_others.end() && isLost(known->second, now);
}

bool fleet_members::isLost(const other_member& other, monotonic_time now) const
{
    // Instances of other regions are reported by relays only, if at all.
    if (usesRelays() && other.memberInfo.region != m_self.region)
        return false;
    return now - std::max(other.lastSeenAt, other.knownSince) > lostAfter;
}

std::vector<instance_id> fleet_members::lostMembers(monotonic_time now) const
{
    std::vector<instance_id> result;
    for (const auto& [name, entry] : m_others) {
        if (isLost(entry, now))
            result.push_back(name);
    }
    return result;
}

std::vector<member> fleet_members::others() const
{
    std::vector<member> result;
    for (const auto& [name, entry] : m_others)
        result.push_back(entry.memberInfo);
    return result;
}

bool fleet_members::usesRelays() const { return size() > maxMembersWithoutRelays; }

const relay_choice& fleet_members::relayChoice(monotonic_time now) const
{
    if (!m_relayChoice || now >= m_relayChoice->validUntil)
        m_relayChoice = chooseRelays(relayCandidates(now), m_self.instance);
    return *m_relayChoice;
}

std::vector<relay_candidate> fleet_members::relayCandidates(monotonic_time now) const
{
    std::vector<relay_candidate> candidates;
    // Starting or leaving instances are not relays unless there are no others.
    if (m_isSelfReady)
        candidates.push_back({ m_self.instance, m_self.linkMbps });
    for (const auto& name : m_regions.of(m_self.region).names) {
        if (name == m_self.instance)
            continue;
        const auto& entry = m_others.at(name);
        const bool isServing = isFresh(entry, now) && entry.isReportedReady;
        const auto newUntil = entry.knownSince + newMemberGrace;
        const auto until = isServing ? std::max(newUntil, entry.lastSeenAt + freshnessLimit()) : newUntil;
        if (now < until)
            candidates.push_back({ name, entry.memberInfo.linkMbps, until });
    }
    return candidates;
}

bool fleet_members::isRelay(monotonic_time now) const { return !usesRelays() || relayChoice(now).includesSelf; }

bool fleet_members::isFirstRelay(monotonic_time now) const
{
    const auto& first = relayChoice(now).names.front();
    return first == m_self.instance || !m_digests.isConnected(first, now);
}

std::vector<member> fleet_members::relays(monotonic_time now) const
{
    std::vector<member> result;
    for (const auto& name : relayChoice(now).names) {
        if (name != m_self.instance)
            result.push_back(m_others.at(name).memberInfo);
    }
    return result;
}

std::vector<member> fleet_members::regionOthers() const
{
    std::vector<member> result;
    for (const auto& name : m_regions.of(m_self.region).names) {
        if (name != m_self.instance)
            result.push_back(m_others.at(name).memberInfo);
    }
    return result;
}

forward_receiver fleet_members::receiverFrom(const other_member& other, monotonic_time now) const
{
    // Reports reach a relay sooner than its own digests show that an instance has ended.
    const bool isServing = isRelay(now) ? isReporting(other, now) : isFresh(other, now);
    return { other.memberInfo, isServing && other.isReportedReady };
}

std::vector<forward_receiver> fleet_members::regionReceivers(monotonic_time now) const
{
    std::vector<forward_receiver> result;
    for (const auto& name : m_regions.of(m_self.region).names) {
        if (name != m_self.instance)
            result.push_back(receiverFrom(m_others.at(name), now));
    }
    return result;
}

std::vector<forward_receiver> fleet_members::receiversIn(const member_range& range, monotonic_time now) const
{
    const auto& names = m_regions.of(m_self.region).names;
    std::vector<forward_receiver> result;
    const auto first = std::lower_bound(names.begin(), names.end(), instance_id(range.first));
    for (auto name = first; name != names.end() && name->value() <= range.last; ++name) {
        if (*name == m_self.instance)
            continue;
        const auto& other = m_others.at(*name);
        if (other.memberInfo.failureDomain.value() == range.failureDomain)
            result.push_back(receiverFrom(other, now));
    }
    return result;
}

std::vector<endpoint> fleet_members::relaysOfOtherRegions(monotonic_time now) const
{
    std::vector<endpoint> result;
    for (const auto& [region, group] : m_regions.all()) {
        if (region == m_self.region)
            continue;
        const auto reachable = m_digests.relaysOf(region, now);
        result.insert(result.end(), reachable.begin(), reachable.end());
        if (!reachable.empty())
            continue;
        for (const auto& name : likelyRelays(group.names))
            result.push_back(m_others.at(name).memberInfo.entryAddress);
    }
    return result;
}

region_sum fleet_members::sumOfRegion(monotonic_time now) const
{
    region_sum sum;
    sum.region = m_self.region.value();
    std::map<std::string, customer_demand> demand;
    const auto add = [&](const fleet_report& report) {
        ++sum.reachable;
        sum.withFullWindow += report.hasFullWindow ? 1 : 0;
        for (const auto& part : report.demand) {
            auto& total = demand[part.customer];
            total.customer = part.customer;
            total.perSecond += part.perSecond;
            total.admitted += part.admitted;
        }
        addTallies(sum.tallies, report.tallies);
    };
    add(m_localReport);
    for (const auto& [name, entry] : m_others) {
        if (isReporting(entry, now))
            add(entry.report);
    }
    for (auto& [customer, total] : demand)
        sum.demand.push_back(std::move(total));
    return sum;
}

std::vector<member_readiness> fleet_members::memberReadiness(monotonic_time now) const
{
    std::vector<member_readiness> result { { m_self.instance.value(), m_isSelfReady, m_selfReachesUpstreams } };
    for (const auto& [name, entry] : m_others) {
        if (isReporting(entry, now))
            result.push_back({ name.value(), entry.report.isReady && !entry.report.isLeaving, entry.reachesUpstreams });
    }
    return result;
}

bool fleet_members::recordDigest(const region_digest& digest, monotonic_time now)
{
    if (!m_digests.record(digest, now))
        return false;
    for (const auto& readiness : digest.members) {
        const auto known = m_others.find(instance_id(readiness.instance));
        if (known == m_others.end())
            continue;
        setReportedReady(known->second, readiness.isReady, now);
        known->second.reachesUpstreams = readiness.reachesUpstreams;
    }
    return true;
}

std::vector<version_tally> fleet_members::talliesOfOthers(monotonic_time now) const
{
    std::vector<version_tally> result;
    if (!usesRelays()) {
        for (const auto& [name, entry] : m_others) {
            if (isFresh(entry, now))
                addTallies(result, entry.report.tallies);
        }
        return result;
    }
    addTallies(result, m_digests.freshTallies(now));
    // The sum of the own region includes the reports of this instance.
    for (auto& tally : result) {
        for (const auto& own : m_localReport.tallies) {
            if (own.service == tally.service && own.version == tally.version)
                tally.subtract(own);
        }
    }
    return result;
}

std::vector<const member*> fleet_members::readyMembers(bool isReachRequired, monotonic_time now) const
{
    std::vector<const member*> ready;
    if (m_isSelfReady && (m_selfReachesUpstreams || !isReachRequired))
        ready.push_back(&m_self);
    for (const auto& [name, entry] : m_others) {
        if (entry.isReportedReady && isFresh(entry, now) && (entry.reachesUpstreams || !isReachRequired))
            ready.push_back(&entry.memberInfo);
    }
    return ready;
}

std::vector<member> fleet_members::forwardingPeers(monotonic_time now) const
{
    std::vector<member> local;
    std::vector<member> all;
    for (const auto* peer : readyMembers(true, now)) {
        if (peer == &m_self || peer->forwardAddress.port == 0)
            continue;
        all.push_back(*peer);
        if (peer->region == m_self.region)
            local.push_back(*peer);
    }
    return local.empty() ? all : local;
}

std::vector<member> fleet_members::nearestReady(
    const failure_domain_id& domain, const region_id& region, monotonic_time now) const
{
    auto ready = readyMembers(true, now);
    if (ready.empty())
        ready = readyMembers(false, now);
    const auto copyOf = [&](auto isNear) {
        std::vector<member> near;
        for (const auto* which : ready) {
            if (isNear(*which))
                near.push_back(*which);
        }
        return near;
    };
    auto near = copyOf([&](const member& which) { return which.failureDomain == domain; });
    if (near.empty())
        near = copyOf([&](const member& which) { return which.region == region; });
    return near.empty() ? copyOf([](const member&) { return true; }) : near;
}

} // namespace flamingoroute
