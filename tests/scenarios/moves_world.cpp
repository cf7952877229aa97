#include "moves_world.hpp"

#include "flamingoroute/moves/move_progress.hpp"
#include "support/scenario/scenario.hpp"
#include "support/scenario/world_registry.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

const world_registration registration("moves", [](std::uint64_t seed) { return std::make_unique<moves_world>(seed); });

const move_settings settings;
constexpr int entryCount = 9;
constexpr microseconds stepTime { 10'000 };
constexpr microseconds tickTime { 100'000 };
constexpr std::int64_t epochMs = 1'700'000'000'000;
constexpr double oldErrorShare = 0.002;
constexpr double medianLatency = 5000; // microseconds

tl::expected<void, scenario_error> fail(const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { 0, word, detail });
}

double numberOf(const std::string& word) { return std::stod(word); }

} // namespace

moves_world::entry::entry()
    : follower(settings)
    , cap(std::make_unique<share_cap>())
{
}

moves_world::leader::leader()
    : decisions(settings)
{
}

moves_world::moves_world(std::uint64_t seed)
    : m_random(seed)
    , m_entries(entryCount)
{
    for (int number = 0; number < entryCount; ++number)
        m_entries[static_cast<std::size_t>(number)].name = instance_id("e" + std::to_string(number + 1));
    m_leaders["a"].isHolder = true;
    m_leaders["b"];
    service shop;
    shop.name = service_id("shop");
    shop.currentVersion = version_id("v1");
    shop.routes.resize(2);
    shop.routes[0].name = "tickets";
    shop.routes[1].name = "deposits";
    m_head.number = 1;
    m_head.services.push_back(shop);
}

void moves_world::advanceTo(microseconds now)
{
    while (m_now + stepTime <= now) {
        m_now += stepTime;
        step();
    }
}

void moves_world::step()
{
    while (!m_delayed.empty() && m_delayed.front().at <= m_now) {
        const auto action = std::move(m_delayed.front().action);
        m_delayed.pop_front();
        action();
    }
    m_dueRequests += m_rate * std::chrono::duration<double>(stepTime).count();
    for (; m_dueRequests >= 1; m_dueRequests -= 1)
        sendRequest();
    if (m_now.count() % tickTime.count() == 0) {
        tickEntries();
        tickLeaders();
    }
}

void moves_world::sendRequest()
{
    auto& at = m_entries[m_random() % m_entries.size()];
    if (at.inForce.services.empty())
        return;
    const auto& shop = at.inForce.services[0];
    const auto& matchedRoute = shop.routes[m_random() % 50 == 0 ? 1 : 0];
    const bool isNew = at.cap->choose(shop, matchedRoute) == version_id("v2");
    ++m_requests;
    recordAttempt(at, matchedRoute, isNew);
    const auto observed = attemptOf(matchedRoute, isNew);
    const bool isStopped = at.follower.recordAttempt(observed, clock());
    if (isStopped)
        at.cap->update(at.follower.splits({ clock(), unixMs() }));
}

void moves_world::recordAttempt(entry& at, const route& matchedRoute, bool isNew)
{
    auto& [attempts, toNew] = at.counts[matchedRoute.name];
    ++attempts;
    if (!isNew)
        return;
    ++toNew;
    m_lastNewAt = m_now;
    m_faultyRequests += isFaulty(matchedRoute) ? 1 : 0;
    const auto& move = at.inForce.moves.at(0);
    if (move.capPercent < 100 && toNew * 100 > attempts * move.capPercent) {
        m_isCapKept = false;
        m_capBreach = at.name.value() + " routed to the new version: " + std::to_string(toNew) + " of "
            + std::to_string(attempts);
    }
}

bool moves_world::isFaulty(const route& matchedRoute) const
{
    return m_fault != "fine" && m_fault != "cold" && (m_onlyRoute.empty() || m_onlyRoute == matchedRoute.name);
}

observed_attempt moves_world::attemptOf(const route& matchedRoute, bool isNew)
{
    observed_attempt observed { service_id("shop"), matchedRoute.name, version_id(isNew ? "v2" : "v1"),
        chance() < oldErrorShare, microseconds { 0 } };
    double latency = medianLatency * std::lognormal_distribution<double>(0, 0.5)(m_random);
    if (isNew && m_fault == "cold" && m_now < microseconds(static_cast<std::int64_t>(m_faultArgument)))
        latency *= 4;
    if (isNew && isFaulty(matchedRoute)) {
        const bool isLoaded = !m_head.moves.empty() && m_head.moves[0].sharePercent >= m_faultArgument;
        if (m_fault == "fails")
            observed.isError = chance() * 100 < m_faultArgument;
        if (m_fault == "slow")
            latency *= m_faultArgument;
        if (m_fault == "slow-above" && isLoaded)
            latency *= 3;
    }
    observed.latency = microseconds(static_cast<std::int64_t>(latency));
    return observed;
}

void moves_world::tickEntries()
{
    for (auto& each : m_entries) {
        const move_follower::clock_reading at { clock(), unixMs() };
        if (!each.isDisconnected && each.inForce.number < m_head.number && chance() < 0.3) {
            const bool isLowered
                = !each.inForce.moves.empty() && m_head.moves[0].capPercent < each.inForce.moves[0].sharePercent;
            if (isLowered)
                each.counts.clear();
            each.inForce = m_head;
            each.follower.adopt(each.inForce, at);
        }
        each.cap->update(each.follower.splits(at));
        for (const auto& report : each.follower.collectDueReports(clock())) {
            if (each.isDisconnected || chance() < 0.05)
                continue;
            for (const auto& name : { "a", "b" }) {
                after(microseconds(static_cast<std::int64_t>(chance() * 80'000)), [this, &each, report, name] {
                    if (!m_leaders.at(name).isPaused)
                        m_leaders.at(name).decisions.recordReport(each.name, 1, report, clock());
                });
            }
        }
    }
}

void moves_world::tickLeaders()
{
    for (auto& [name, each] : m_leaders) {
        if (each.isPaused)
            continue;
        if (!m_isStoreDown && each.inForce.number < m_head.number) {
            each.inForce = m_head;
            each.decisions.adopt(each.inForce, clock());
        }
        tickLeader(each);
    }
}

void moves_world::tickLeader(leader& each)
{
    move_leader::view at;
    at.now = clock();
    at.nowUnixMs = unixMs();
    for (const auto& member : m_entries)
        at.members.push_back(member.name);
    at.holdsLease = [&each](const move_id&) { return each.isHolder; };
    const auto actions = each.decisions.tick(at);
    for (const auto& next : actions.publish)
        publish(withMove(each.inForce, next), each.inForce.number);
    const bool isConfirming = m_now.count() % 1'000'000 == 0;
    for (const auto& notice : actions.notices) {
        if (!isConfirming && !notice.isStopped)
            continue;
        for (auto& to : m_entries) {
            if (!to.isDisconnected && chance() > 0.05)
                to.follower.applyNotice(notice, clock());
        }
    }
}

void moves_world::publish(const configuration& next, revision expected)
{
    if (m_isStoreDown || m_head.number != expected)
        return;
    m_head = next;
    m_head.number = expected + 1;
}

void moves_world::after(microseconds delay, std::function<void()> action)
{
    const delayed item { m_now + delay, std::move(action) };
    const auto where = std::upper_bound(m_delayed.begin(), m_delayed.end(), item,
        [](const delayed& left, const delayed& right) { return left.at < right.at; });
    m_delayed.insert(where, item);
}

double moves_world::chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

std::int64_t moves_world::unixMs() const { return epochMs + std::chrono::duration_cast<milliseconds>(m_now).count(); }

moves_world::result moves_world::run(const scenario_command& command)
{
    const auto& given = command.words;
    try {
        if (given[0] == "move")
            return startMove(given);
        if (given[0] == "version")
            return setVersion(given);
        if (given[0] == "expect")
            return expect(given);
        return control(given);
    } catch (const std::exception&) {
        return fail(given[0], "has an invalid or missing argument");
    }
}

moves_world::result moves_world::startMove(const words& given)
{
    microseconds by { 0 };
    if (given.at(1) != "by" || given.at(3) != "cap" || !parseDuration(given.at(2), by))
        return fail(given[1], "must be: move by TIME cap PERCENT");
    version_move next;
    next.name = move_id("to-v2");
    next.service = service_id("shop");
    next.from = version_id("v1");
    next.to = version_id("v2");
    next.capPercent = std::stoi(given.at(4));
    next.startAtUnixMs = unixMs();
    next.finishByUnixMs = epochMs + std::chrono::duration_cast<milliseconds>(by).count();
    m_head.moves = { next };
    ++m_head.number;
    return {};
}

moves_world::result moves_world::setVersion(const words& given)
{
    m_fault = given.at(1);
    m_faultArgument = m_fault == "fails" ? 100 : 0;
    if (given.size() < 3)
        return {};
    microseconds time { 0 };
    if (m_fault == "cold" && parseDuration(given[2], time))
        m_faultArgument = static_cast<double>((m_now + time).count());
    else
        m_faultArgument = numberOf(given[2]);
    return {};
}

moves_world::result moves_world::control(const words& given)
{
    const auto& word = given[0];
    if (word == "rate")
        m_rate = numberOf(given.at(1));
    else if (word == "only-route")
        m_onlyRoute = given.at(1);
    else if (word == "cut" || word == "join")
        m_entries.at(std::stoul(given.at(1)) - 1).isDisconnected = word == "cut";
    else if (word == "store")
        m_isStoreDown = given.at(1) == "down";
    else if (word == "pause" || word == "wake") {
        auto& each = m_leaders.at(given.at(1));
        each.isPaused = word == "pause";
        m_leaders.at(given[1] == "a" ? "b" : "a").isHolder = true;
        if (word == "wake")
            tickLeader(each);
    } else if (word == "cap") {
        move().capPercent = std::stoi(given.at(1));
        ++m_head.number;
    } else if (word == "take-back") {
        move().isRollbackRequested = true;
        ++m_head.number;
    } else {
        return fail(word, "is not a command of this world");
    }
    return {};
}

moves_world::result moves_world::expect(const words& given)
{
    const auto& what = given.at(1);
    const auto phase = move().phase;
    const std::string state = "at " + std::to_string(move().sharePercent) + "%: " + move().reason;
    if (what == "done" && phase != move_phase::done)
        return fail(what, state);
    if (what == "undone" && phase != move_phase::undone)
        return fail(what, state);
    if (what == "running" && (phase == move_phase::done || phase == move_phase::undone))
        return fail(what, state);
    if (what == "cap")
        return expectCap();
    if (what == "bad") {
        const double share
            = 100.0 * static_cast<double>(m_faultyRequests) / static_cast<double>(std::max(m_requests, 1L));
        if (share > numberOf(given.at(4)))
            return fail(given[4], "actual share: " + std::to_string(share) + "%");
    }
    if (what == "no") {
        microseconds span { 0 };
        if (!parseDuration(given.at(given.size() - 1), span))
            return fail(given.back(), "is not a time");
        if (m_lastNewAt > m_now - span)
            return fail(what, "the last request was at " + std::to_string(m_lastNewAt.count() / 1000) + " ms");
    }
    const bool isKnown = what == "done" || what == "undone" || what == "running" || what == "bad" || what == "no";
    return isKnown ? result {} : fail(what, "is not an expectation of this world");
}

moves_world::result moves_world::expectCap() const { return m_isCapKept ? result {} : fail("cap", m_capBreach); }

} // namespace flamingoroute::testing
