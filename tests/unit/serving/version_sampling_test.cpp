#include "flamingoroute/serving/version_sampling.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(version_sampling, counts_an_attempt_that_ran_into_its_deadline_as_slow)
{
    EXPECT_EQ(versionSampleOf({ attempt_verdict::timed_out, 0, 2.3, false }), version_sample::slow);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::failed, 504, 2.3, false }), version_sample::slow);
}

TEST(version_sampling, ignores_an_attempt_that_had_little_time_or_whose_caller_left_early)
{
    EXPECT_EQ(versionSampleOf({ attempt_verdict::timed_out, 0, 0.4, false }), std::nullopt);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::abandoned, 0, 2.3, false }), std::nullopt);
}

TEST(version_sampling, ignores_slowness_of_an_upstream_that_has_just_started)
{
    EXPECT_EQ(versionSampleOf({ attempt_verdict::served, 200, 4, true }), version_sample::untimed);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::timed_out, 0, 4, true }), std::nullopt);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::failed, 500, 0.1, true }), version_sample::failed);
}

// EXPOSURE: an answer for a cached object counted as slow only beyond three times the time for an uncached one.
TEST(version_sampling, counts_an_answer_as_slow_that_takes_more_than_twice_the_time_expected_of_its_object)
{
    EXPECT_EQ(versionSampleOf({ attempt_verdict::served, 200, 2.2 }), version_sample::slow);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::served, 200, 1.5 }), version_sample::good);
}

TEST(version_sampling, takes_no_time_of_an_upstream_without_a_free_slot_for_slowness)
{
    EXPECT_EQ(versionSampleOf({ attempt_verdict::served, 200, 4, false, true }), version_sample::untimed);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::timed_out, 0, 4, false, true }), std::nullopt);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::failed, 504, 4, false, true }), std::nullopt);
    EXPECT_EQ(versionSampleOf({ attempt_verdict::failed, 500, 4, false, true }), version_sample::failed);
}

TEST(version_sampling, ignores_attempts_that_did_not_run)
{
    for (const auto verdict : { attempt_verdict::shed, attempt_verdict::misdirected, attempt_verdict::unreachable })
        EXPECT_EQ(versionSampleOf({ verdict, 503, 5, false }), std::nullopt);
}

} // namespace flamingoroute
