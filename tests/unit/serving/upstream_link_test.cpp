#include "flamingoroute/serving/upstream_link.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

monotonic_time at(int ms) { return monotonic_time(milliseconds(100'000 + ms)); }

const upstream_id first("u-1");
const upstream_id second("u-2");

} // namespace

TEST(upstream_link, is_checked_once_two_upstreams_accepted_no_connection_and_partitioned_if_the_check_fails)
{
    upstream_link link;
    link.recordUnreachable(first);
    link.recordUnreachable(first);
    EXPECT_FALSE(link.isCheckDue(at(0)));
    link.recordUnreachable(second);
    ASSERT_TRUE(link.isCheckDue(at(0)));
    EXPECT_FALSE(link.isPartitioned());
    link.beginCheck(at(0));
    EXPECT_FALSE(link.isCheckDue(at(600)));
    link.recordCheck(false, at(500));
    EXPECT_TRUE(link.isPartitioned());
    EXPECT_TRUE(link.isCheckDue(at(600))) << "to notice when upstreams can be reached again";
    link.beginCheck(at(600));
    link.recordCheck(true, at(610));
    EXPECT_FALSE(link.isPartitioned());
    EXPECT_FALSE(link.isSuspect());
    EXPECT_EQ(link.lastConnectedAt(), at(610));
}

TEST(upstream_link, stays_suspect_while_open_connections_are_answered_and_new_ones_are_refused)
{
    upstream_link link;
    link.recordUnreachable(first);
    link.recordAnswer(at(10));
    link.recordUnreachable(second);
    link.recordAnswer(at(20));
    EXPECT_TRUE(link.isCheckDue(at(20)));
    link.recordConnected(at(30));
    EXPECT_FALSE(link.isCheckDue(at(30)));
}

TEST(upstream_link, is_checked_when_open_attempts_stay_without_any_answer)
{
    upstream_link link;
    link.recordAttemptBegin(at(0));
    link.recordAttemptBegin(at(100));
    link.recordAnswer(at(300));
    EXPECT_FALSE(link.isCheckDue(at(900)));
    EXPECT_TRUE(link.isCheckDue(at(1000)));
    link.recordAttemptEnd();
    EXPECT_FALSE(link.isCheckDue(at(1000))) << "one request alone may take long";
}

TEST(upstream_link, forgets_a_lost_connection_with_the_next_answer)
{
    upstream_link link;
    link.recordLost(first);
    link.recordAnswer(at(10));
    link.recordLost(second);
    EXPECT_FALSE(link.isSuspect());
    link.recordLost(first);
    EXPECT_TRUE(link.isSuspect());
}

} // namespace flamingoroute
