#include "flamingoroute/placement/region_shares.hpp"
#include "flamingoroute/serving/upstream_selector.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"
#include "unit/serving/serving_fixture.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace flamingoroute::testing {

namespace {

constexpr std::size_t objectCount = 10'000;
constexpr double maxMovedPerNeeded = 1.05;
constexpr double maxShareDeviation = 0.05;
/// Random variation of a count, in standard deviations.
constexpr double variation = 3;
constexpr double plannedLoad = 0.6;
/// Requests per second to a cold upstream: at most one in the time that a test takes.
constexpr double lowestRate = 1e-6;
constexpr seconds drainTime { 8 };
constexpr seconds settled { 120 };

const std::array<std::string, 3> regionNames { "small", "middle", "large" };
const std::array<int, 3> upstreamCounts { 34, 138, 166 };
enum region_index : std::size_t { small_region, middle_region, large_region };
const service_id service("mostrador");

std::string domainOf(std::size_t region) { return regionNames.at(region) + "-a"; }

registered_upstream entryOf(std::size_t region, int number, int slots)
{
    registered_upstream entry;
    entry.name = upstream_id(regionNames.at(region) + "-upstream-" + std::to_string(number));
    entry.service = service;
    entry.version = version_id("v1");
    entry.failureDomain = failure_domain_id(domainOf(region));
    entry.address = { "10.0." + std::to_string(region) + ".1", static_cast<std::uint16_t>(number + 1) };
    entry.slots = slots;
    return entry;
}

/// An instance of one region and what it plans for each object.
class caller_region {
public:
    explicit caller_region(std::size_t region)
    {
        m_fixture->configuration.rules.front().isSticky = true;
        m_fixture->configuration.services.front().coldRate = lowestRate;
        m_fixture->apply();
        auto& settings = m_fixture->state.settings;
        settings.region = region_id(regionNames.at(region));
        settings.regions.clear();
        for (std::size_t i = 0; i < regionNames.size(); ++i)
            settings.regions[failure_domain_id(domainOf(i))] = region_id(regionNames.at(i));
        m_fixture->state.upstreams = upstream_directory(settings.regions);
        m_fixture->state.paths = path_delays(settings.region);
    }

    serving_state& state() { return m_fixture->state; }

    std::vector<upstream_id> firstChoices(
        monotonic_time now, const std::set<upstream_id>& tried, std::size_t count = objectCount) const
    {
        const upstream_selector selector(m_fixture->state);
        std::vector<upstream_id> choices;
        selection_query query;
        query.rule = &m_fixture->state.table->configuration().rules.front();
        query.service = service;
        query.tried = tried;
        query.objective = seconds(1);
        query.timeLeft = seconds(3);
        for (std::size_t i = 0; i < count; ++i) {
            query.objectHash = mix64(i);
            choices.push_back(selector.select(query, now).upstream);
        }
        return choices;
    }

    /// @return the share of the objects that each upstream should have by sizes
    std::map<upstream_id, double> targets() const
    {
        const auto& state = m_fixture->state;
        std::map<region_id, region_capacity> capacities;
        for (const auto& [domain, region] : state.settings.regions)
            capacities[region].demand = 1.0 / static_cast<double>(regionNames.size());
        for (const auto* upstream : state.upstreams.ofService(service))
            capacities[upstream->region].slots += upstream->isLeaving ? 0 : upstream->registration.slots;
        const auto shares = regionShares(capacities, state.settings.region, plannedLoad);
        std::map<upstream_id, double> targets;
        for (const auto* upstream : state.upstreams.ofService(service)) {
            if (!upstream->isLeaving)
                targets[upstream->registration.name] = shares.at(upstream->region) * upstream->registration.slots
                    / capacities.at(upstream->region).slots;
        }
        return targets;
    }

private:
    std::unique_ptr<serving_fixture> m_fixture = std::make_unique<serving_fixture>();
};

struct moves {
    double moved = 0;
    double needed = 0; ///< by the targets before and after
    double ofOthers = 0; ///< moved objects whose upstream did not change
};

/// Instances of three regions with the same list of upstreams.
class fleet {
public:
    explicit fleet(const std::function<int(int)>& slotsOf = [](int) { return 6; })
    {
        for (std::size_t region = 0; region < regionNames.size(); ++region)
            m_regions.push_back(std::make_unique<caller_region>(region));
        for (std::size_t region = 0; region < regionNames.size(); ++region) {
            for (int number = 0; number < upstreamCounts.at(region); ++number)
                add(entryOf(region, number, slotsOf(number)));
        }
    }

    void add(const registered_upstream& entry)
    {
        forEach([&](serving_state& state) { state.upstreams.apply(entry, now); });
    }

    void remove(const registered_upstream& entry)
    {
        forEach([&](serving_state& state) { state.upstreams.remove(entry.name, now); });
    }

    void forEach(const std::function<void(serving_state&)>& change)
    {
        for (auto& region : m_regions)
            change(region->state());
    }

    /// Applies a change that requests see at once, and compares the first choices before with those after @p wait.
    moves play(const std::function<void()>& change, microseconds wait, const std::set<upstream_id>& changed = {},
        const std::set<upstream_id>& tried = {})
    {
        const auto choicesBefore = choices({});
        const auto targetsBefore = targets();
        change();
        for (const auto& region : m_regions)
            region->firstChoices(now, {}, 1);
        now += wait;
        const auto choicesAfter = choices(tried);
        const auto targetsAfter = targets();
        moves result;
        for (std::size_t i = 0; i < choicesBefore.size(); ++i) {
            if (choicesBefore[i] == choicesAfter[i])
                continue;
            result.moved += 1;
            result.ofOthers += changed.contains(choicesBefore[i]) || changed.contains(choicesAfter[i]) ? 0 : 1;
        }
        for (std::size_t region = 0; region < m_regions.size(); ++region) {
            auto before = targetsBefore[region];
            for (const auto& [name, share] : targetsAfter[region])
                result.needed += objectCount * std::max(0.0, share - before[name]);
        }
        return result;
    }

    std::vector<upstream_id> choices(const std::set<upstream_id>& tried) const
    {
        std::vector<upstream_id> all;
        for (const auto& region : m_regions) {
            const auto some = region->firstChoices(now, tried);
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

    std::vector<std::map<upstream_id, double>> targets() const
    {
        std::vector<std::map<upstream_id, double>> all;
        for (const auto& region : m_regions)
            all.push_back(region->targets());
        return all;
    }

    monotonic_time now { seconds(1000) };

private:
    std::vector<std::unique_ptr<caller_region>> m_regions;
};

void expectFewMoves(const moves& result, const std::string& change)
{
    EXPECT_LE(result.moved, maxMovedPerNeeded * result.needed + variation * std::sqrt(result.needed))
        << change << ": " << result.moved / result.needed << " times the least";
}

void expectFewMovesOfOneUpstream(std::size_t region)
{
    fleet upstreams;
    for (int number = 0; number < 4; ++number) {
        const auto added = upstreams.play([&] { upstreams.add(entryOf(region, 500 + number, 6)); }, settled);
        expectFewMoves(added, "added");
        const auto removed = upstreams.play([&] { upstreams.remove(entryOf(region, number, 6)); }, settled);
        expectFewMoves(removed, "removed");
    }
}

void expectFewMovesOfTenUpstreams(std::size_t region)
{
    fleet upstreams([](int number) { return 2 + 2 * (number % 5); });
    const auto added = upstreams.play(
        [&] {
            for (int number = 0; number < 10; ++number)
                upstreams.add(entryOf(region, 500 + number, 6));
        },
        settled);
    expectFewMoves(added, "ten added");
    const auto removed = upstreams.play(
        [&] {
            for (int number = 0; number < 10; ++number)
                upstreams.remove(entryOf(region, number, 6));
        },
        settled);
    expectFewMoves(removed, "ten removed");
}

void expectFewMovesOfALostRegion(std::size_t region)
{
    fleet upstreams;
    const auto result = upstreams.play(
        [&] {
            for (int number = 0; number < upstreamCounts.at(region); ++number)
                upstreams.remove(entryOf(region, number, 6));
        },
        settled);
    expectFewMoves(result, "lost");
}

/// Expects that a change of one upstream that ends within the drain time moves the objects of this upstream only.
void expectOnlyItsOwnMove(const std::function<void(serving_state&, const upstream_id&, monotonic_time)>& change)
{
    for (std::size_t region = 0; region < regionNames.size(); ++region) {
        fleet upstreams;
        const auto changed = entryOf(region, 5, 6).name;
        upstreams.choices({});
        const auto result = upstreams.play(
            [&] { upstreams.forEach([&](serving_state& one) { change(one, changed, upstreams.now); }); },
            milliseconds(500), { changed });
        EXPECT_GT(result.moved, 0) << regionNames.at(region);
        EXPECT_EQ(result.ofOthers, 0) << regionNames.at(region);
    }
}

/// Expects the share of each group of upstreams, over the callers of all regions, to follow the targets.
void expectSharesBySize(const fleet& upstreams, const std::function<std::string(const upstream_id&)>& groupOf)
{
    std::map<std::string, double> expected;
    for (const auto& targets : upstreams.targets()) {
        for (const auto& [name, share] : targets)
            expected[groupOf(name)] += share * objectCount;
    }
    std::map<std::string, double> counted;
    for (const auto& choice : upstreams.choices({}))
        counted[groupOf(choice)] += 1;
    for (const auto& [group, count] : expected)
        EXPECT_NEAR(counted[group], count, maxShareDeviation * count) << group;
}

} // namespace

TEST(object_moves_of_small_region, stay_near_the_least_when_one_upstream_is_added_and_another_removed)
{
    expectFewMovesOfOneUpstream(small_region);
}

TEST(object_moves_of_small_region, stay_near_the_least_when_ten_upstreams_are_added_or_removed)
{
    expectFewMovesOfTenUpstreams(small_region);
}

TEST(object_moves_of_small_region, stay_near_the_least_when_all_its_upstreams_are_lost)
{
    expectFewMovesOfALostRegion(small_region);
}

TEST(object_moves_of_middle_region, stay_near_the_least_when_one_upstream_is_added_and_another_removed)
{
    expectFewMovesOfOneUpstream(middle_region);
}

TEST(object_moves_of_middle_region, stay_near_the_least_when_ten_upstreams_are_added_or_removed)
{
    expectFewMovesOfTenUpstreams(middle_region);
}

TEST(object_moves_of_middle_region, stay_near_the_least_when_all_its_upstreams_are_lost)
{
    expectFewMovesOfALostRegion(middle_region);
}

TEST(object_moves_of_large_region, stay_near_the_least_when_one_upstream_is_added_and_another_removed)
{
    expectFewMovesOfOneUpstream(large_region);
}

TEST(object_moves_of_large_region, stay_near_the_least_when_ten_upstreams_are_added_or_removed)
{
    expectFewMovesOfTenUpstreams(large_region);
}

TEST(object_moves_of_large_region, stay_near_the_least_when_all_its_upstreams_are_lost)
{
    expectFewMovesOfALostRegion(large_region);
}

TEST(object_moves, are_only_its_own_while_an_upstream_flaps)
{
    for (std::size_t region = 0; region < regionNames.size(); ++region) {
        fleet upstreams;
        const auto entry = entryOf(region, 5, 6);
        const auto before = upstreams.choices({});
        const auto gone = upstreams.play([&] { upstreams.remove(entry); }, drainTime, { entry.name });
        EXPECT_GT(gone.moved, 0);
        EXPECT_EQ(gone.ofOthers, 0) << regionNames.at(region);
        upstreams.play([&] { upstreams.add(entry); }, settled);
        EXPECT_EQ(upstreams.choices({}), before) << regionNames.at(region);
    }
}

TEST(object_moves, are_only_its_own_while_an_upstream_drains)
{
    expectOnlyItsOwnMove(
        [](serving_state& state, const upstream_id& name, monotonic_time) { state.upstreams.recordLeaving(name, 0); });
}

TEST(object_moves, are_only_its_own_while_an_upstream_is_cold)
{
    expectOnlyItsOwnMove([](serving_state& state, const upstream_id& name, monotonic_time now) {
        auto entry = state.upstreams.find(name)->registration;
        entry.remainingColdTime = seconds(20);
        state.upstreams.apply(entry, now);
        state.cold.recordSent(name, now);
    });
}

TEST(object_moves, are_only_its_own_while_an_upstream_is_paused)
{
    expectOnlyItsOwnMove([](serving_state& state, const upstream_id& name, monotonic_time now) {
        attempt_report report;
        report.pause = seconds(5);
        state.upstreams.recordResult(name, report, milliseconds(0), now);
    });
}

TEST(object_moves, are_only_its_own_while_an_upstream_is_at_its_limit)
{
    expectOnlyItsOwnMove([](serving_state& state, const upstream_id& name, monotonic_time now) {
        state.upstreams.takeLimitShare(name, { seconds(5), 1 }, now);
    });
}

TEST(object_moves, are_only_its_own_while_requests_back_off_from_an_upstream)
{
    expectOnlyItsOwnMove([](serving_state& state, const upstream_id& name, monotonic_time now) {
        attempt_report report;
        report.verdict = attempt_verdict::unreachable;
        for (int i = 0; i < 4; ++i)
            state.upstreams.recordResult(name, report, milliseconds(0), now);
    });
}

TEST(object_moves, are_only_its_own_when_an_upstream_was_tried_for_the_request)
{
    for (std::size_t region = 0; region < regionNames.size(); ++region) {
        fleet upstreams;
        const auto tried = entryOf(region, 5, 6).name;
        const auto result = upstreams.play([] {}, seconds(0), { tried }, { tried });
        EXPECT_GT(result.moved, 0);
        EXPECT_EQ(result.ofOthers, 0) << regionNames.at(region);
    }
}

TEST(object_moves, leave_the_shares_in_proportion_to_the_sizes)
{
    const fleet upstreams([](int number) { return 2 + 2 * (number % 5); });
    expectSharesBySize(
        upstreams, [](const upstream_id& name) { return name.value().substr(0, name.value().find('-')); });
    expectSharesBySize(upstreams, [](const upstream_id& name) {
        return std::to_string(std::stoi(name.value().substr(name.value().rfind('-') + 1)) % 5);
    });
}

} // namespace flamingoroute::testing
