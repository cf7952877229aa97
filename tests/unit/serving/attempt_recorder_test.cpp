#include "flamingoroute/serving/attempt_recorder.hpp"

#include "unit/serving/serving_fixture.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

using Poco::Net::StreamSocket;
using testing::answering;
using testing::raw_upstream;
using testing::serving_fixture;

/// Reads one request and closes the connection without an answer.
void closeWithoutAnswer(raw_upstream& self, StreamSocket& connection, int) { self.readRequest(connection); }

version_order orderOf(const version_id& target)
{
    version_order order;
    order.service = service_id("mostrador");
    order.target = target;
    order.duration = milliseconds(60'000);
    order.isStateWritten = true;
    return order;
}

} // namespace

TEST(attempt_recorder, finds_a_version_bad_that_answers_with_failures_while_connections_to_the_other_version_break)
{
    raw_upstream cut(closeWithoutAnswer);
    raw_upstream bad(answering("500 Internal Server Error"));
    serving_fixture node;
    node.state.versions.recordOrder(orderOf(version_id("v2")), monotonicNow());
    node.addUpstream("u-1", cut);
    node.serveReads(20);
    node.state.upstreams.remove(upstream_id("u-1"), monotonicNow());
    node.addUpstream("u-2", bad, "centro-a", "v2");
    node.serveReads(10);
    node.state.versions.judge({}, monotonicNow());
    const auto due = node.state.versions.dueStates(0, monotonicNow());
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().state, version_order_state::rolled_back);
}

TEST(attempt_recorder, finds_a_version_bad_whose_answers_take_longer_than_the_timeout)
{
    raw_upstream slow([](raw_upstream& self, StreamSocket& connection, int) { self.waitForClose(connection); });
    serving_fixture node;
    node.configuration.rules.front().timeout = milliseconds(600);
    node.configuration.rules.front().objective = milliseconds(200);
    node.configuration.rules.front().isSticky = true;
    node.apply();
    node.state.versions.recordOrder(orderOf(version_id("v2")), monotonicNow());
    node.addUpstream("u-1", slow, "centro-a", "v2");
    node.serveReads(5);
    node.state.versions.judge({}, monotonicNow());
    const auto due = node.state.versions.dueStates(0, monotonicNow());
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().state, version_order_state::rolled_back);
}

TEST(attempt_recorder, keeps_requests_to_an_upstream_within_the_limit_that_its_answers_name)
{
    raw_upstream limited(answering("200 OK", "X-Limit: 2.0\r\n"));
    raw_upstream other(answering("200 OK"));
    serving_fixture node;
    node.addUpstream("u-1", limited);
    node.addUpstream("u-2", other);
    node.serveReads(100);
    EXPECT_GT(limited.requestCount(), 0);
    EXPECT_LE(limited.requestCount(), 2.0 * 1.5 * 4 + 5);
    EXPECT_EQ(limited.requestCount() + other.requestCount(), 100);
}

TEST(attempt_recorder, sends_nothing_to_an_upstream_for_as_long_as_its_503_asks_for)
{
    raw_upstream paused(answering("503 Service Unavailable", "X-Not-Run: 1\r\nRetry-After: 1.2\r\n"));
    raw_upstream other(answering("200 OK"));
    serving_fixture node;
    node.addUpstream("u-1", paused);
    const auto refused = node.serve(serving_fixture::readRequest());
    const auto answeredAt = monotonicNow();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(node.serve(serving_fixture::readRequest())->status, 503);
    node.addUpstream("u-2", other);
    while (monotonicNow() < answeredAt + milliseconds(1000))
        node.serveReads(5);
    EXPECT_EQ(paused.requestCount(), 1);
    node.run(milliseconds(300));
    node.state.upstreams.remove(upstream_id("u-2"), monotonicNow());
    node.serveReads(1);
    EXPECT_EQ(paused.requestCount(), 2);
}

TEST(attempt_recorder, takes_no_number_for_a_limit_or_pause_that_is_none)
{
    const std::vector<std::string> values { "-1", "nan", "inf", "1e999", "soon", "", "2 s" };
    for (const auto& value : values) {
        raw_upstream upstream(answering("200 OK", "X-Limit: " + value + "\r\nRetry-After: " + value + "\r\n"));
        serving_fixture node;
        node.addUpstream("u-1", upstream);
        node.serveReads(12);
        EXPECT_EQ(upstream.requestCount(), 12) << value;
    }
}

} // namespace flamingoroute
