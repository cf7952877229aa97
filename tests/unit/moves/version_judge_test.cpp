#include "flamingoroute/moves/version_judge.hpp"

#include <gtest/gtest.h>

#include <random>

namespace flamingoroute {

namespace {

const move_settings settings;

struct version_behaviour {
    double errorShare = 0;
    double slowShare = 0.08;
};

/// Feeds single attempts at both versions to a judge, a millisecond apart.
class judge_feed {
public:
    explicit judge_feed(std::uint64_t seed)
        : m_random(seed)
        , m_judge(settings)
    {
        m_judge.beginStep(10, m_now);
    }

    /// @return attempts at the new version until the verdict is bad, or @p maxAttempts
    int run(
        int maxAttempts, double newShare, const version_behaviour& oldBehaviour, const version_behaviour& newBehaviour)
    {
        int toNew = 0;
        while (toNew < maxAttempts && m_judge.verdict().state != verdict_state::bad) {
            m_now += milliseconds { 1 };
            const bool isNew = chance(newShare);
            toNew += isNew ? 1 : 0;
            m_judge.add("tickets", isNew ? newAttempt(newBehaviour) : oldAttempt(oldBehaviour), m_now);
        }
        return toNew;
    }

    void advance(milliseconds time) { m_now += time; }
    version_judge& judge() { return m_judge; }

private:
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    route_counts newAttempt(const version_behaviour& behaviour)
    {
        route_counts counts;
        counts.newAttempts = 1;
        counts.newErrors = chance(behaviour.errorShare) ? 1 : 0;
        counts.newTimed = 1 - counts.newErrors;
        counts.newSlow = counts.newTimed == 1 && chance(behaviour.slowShare) ? 1 : 0;
        return counts;
    }

    route_counts oldAttempt(const version_behaviour& behaviour)
    {
        route_counts counts;
        counts.oldAttempts = 1;
        counts.oldErrors = chance(behaviour.errorShare) ? 1 : 0;
        return counts;
    }

    std::mt19937_64 m_random;
    version_judge m_judge;
    monotonic_time m_now { seconds { 100 } };
};

} // namespace

TEST(version_judge, takes_back_no_good_version_over_400_seeds)
{
    int falseRollbacks = 0;
    int judgedGood = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        std::mt19937_64 random(seed);
        const double errorShare = static_cast<double>(random() % 4) * 0.01;
        judge_feed feed(seed);
        feed.run(5000, 0.5, { errorShare }, { errorShare });
        falseRollbacks += feed.judge().verdict().state == verdict_state::bad ? 1 : 0;
        judgedGood += feed.judge().verdict().state == verdict_state::good ? 1 : 0;
    }
    EXPECT_EQ(falseRollbacks, 0);
    EXPECT_GE(judgedGood, 380);
}

TEST(version_judge, finds_a_version_that_fails_at_once_within_twenty_attempts)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        judge_feed feed(seed);
        EXPECT_LE(feed.run(1000, 0.01, { 0.001 }, { 1.0 }), 20) << "seed " << seed;
        EXPECT_EQ(feed.judge().verdict().state, verdict_state::bad) << "seed " << seed;
    }
}

TEST(version_judge, finds_a_fault_that_begins_late_as_soon_as_an_early_one)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        judge_feed feed(seed);
        feed.run(5000, 0.5, { 0.001 }, { 0.001 });
        EXPECT_LE(feed.run(1000, 0.5, { 0.001 }, { 1.0 }), 20) << "seed " << seed;
    }
}

TEST(version_judge, finds_a_slow_version_after_caches_had_time_to_warm)
{
    judge_feed feed(1);
    feed.run(200, 0.5, {}, { 0, 1.0 });
    EXPECT_EQ(feed.judge().verdict().state, verdict_state::undecided);
    feed.advance(settings.warmUpTimeAtSmallShare);
    EXPECT_LE(feed.run(1000, 0.5, {}, { 0, 1.0 }), 20);
    EXPECT_EQ(feed.judge().verdict().state, verdict_state::bad);
}

TEST(version_judge, accepts_a_cold_version_that_warms_up)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        judge_feed feed(seed);
        feed.run(200, 0.5, {}, { 0, 0.9 });
        EXPECT_NE(feed.judge().verdict().state, verdict_state::good) << "seed " << seed;
        feed.advance(settings.warmUpTimeAtSmallShare);
        feed.run(2000, 0.5, {}, {});
        EXPECT_EQ(feed.judge().verdict().state, verdict_state::good) << "seed " << seed;
    }
}

TEST(version_judge, rolls_back_no_version_when_both_fail)
{
    int rolledBack = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        judge_feed feed(seed);
        feed.run(500, 0.1, { 0.001 }, { 0.001 });
        feed.run(500, 0.1, { 0.3 }, { 0.3 });
        rolledBack += feed.judge().verdict().state == verdict_state::bad ? 1 : 0;
    }
    EXPECT_LE(rolledBack, 1);
}

TEST(version_judge, reports_the_route_that_fails)
{
    version_judge judge(settings);
    monotonic_time now { seconds { 100 } };
    judge.beginStep(1, now);
    route_counts healthy;
    healthy.oldAttempts = 900;
    healthy.newAttempts = 100;
    healthy.newTimed = 100;
    judge.add("tickets", healthy, now);
    route_counts failing;
    failing.newAttempts = 8;
    failing.newErrors = 8;
    judge.add("deposits", failing, now);
    EXPECT_EQ(judge.verdict().state, verdict_state::bad);
    EXPECT_NE(judge.verdict().reason.find("deposits"), std::string::npos);
}

} // namespace flamingoroute
