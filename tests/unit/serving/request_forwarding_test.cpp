#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/serving/peer_attempt.hpp"
#include "flamingoroute/serving/request_flow.hpp"
#include "unit/serving/serving_fixture.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

using Poco::Net::StreamSocket;
using testing::answering;
using testing::headerIn;
using testing::raw_upstream;
using testing::serving_fixture;
using testing::signedAnswer;

/// A node that reaches no upstream, beside other instances.
class partitioned_fixture : public serving_fixture {
public:
    partitioned_fixture()
    {
        state.link.beginCheck(monotonicNow());
        state.link.recordCheck(false, monotonicNow());
    }

    void addPeer(const std::string& name, const raw_upstream& listener, const std::string& region = "centro")
    {
        member peer;
        peer.instance = instance_id(name);
        peer.failureDomain = failure_domain_id(region + "-a");
        peer.region = region_id(region);
        peer.callerAddress = { "127.0.0.1", 1 };
        peer.entryAddress = { "127.0.0.1", 2 };
        peer.forwardAddress = listener.target().address;
        state.members.recordRegistered(peer, monotonicNow());
        fleet_report report;
        report.instance = name;
        report.failureDomain = peer.failureDomain.value();
        report.region = region;
        report.callerAddress = toString(peer.callerAddress);
        report.peerAddress = toString(peer.entryAddress);
        report.isReady = true;
        state.members.recordReport(report, monotonicNow());
    }
};

void refuseForwarded(raw_upstream& self, StreamSocket& connection, int)
{
    const auto answer = notForwardedAnswer();
    while (!self.readRequest(connection).empty())
        raw_upstream::send(connection,
            "HTTP/1.1 503 Service Unavailable\r\n" + answer.headers.back().name + ": 1\r\nContent-Length: 0\r\n\r\n");
}

void closeWithoutAnswer(raw_upstream& self, StreamSocket& connection, int) { self.readRequest(connection); }

} // namespace

TEST(request_forwarding, sends_a_request_with_its_key_and_what_is_left_of_time_and_attempts)
{
    std::string seen;
    raw_upstream peer([&](raw_upstream& self, StreamSocket& connection, int) {
        seen = self.readRequest(connection);
        raw_upstream::send(connection, signedAnswer(seen, "200 OK"));
    });
    raw_upstream upstream(answering("200 OK"));
    partitioned_fixture node;
    node.addUpstream("u-1", upstream);
    node.addPeer("entry-2", peer);
    const auto answer = node.serve(serving_fixture::orderRequest());
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "done");
    EXPECT_EQ(headerValue(answer->headers, "X-Signature"), "s");
    EXPECT_EQ(headerIn(seen, "Authorization"), "Bearer secret");
    EXPECT_EQ(headerIn(seen, attemptsLeftHeader), "2");
    EXPECT_LE(std::stoi(headerIn(seen, "X-Remaining")), 3000);
    EXPECT_NE(seen.find("{\"amount\":50}"), std::string::npos);
    EXPECT_EQ(upstream.requestCount(), 0);
}

TEST(request_forwarding, asks_the_next_instance_after_one_that_reaches_no_upstream_either)
{
    raw_upstream partitioned(refuseForwarded);
    raw_upstream connected(answering("200 OK"));
    for (int i = 0; i < 8; ++i) {
        partitioned_fixture node;
        node.addPeer("entry-2", partitioned);
        node.addPeer("entry-3", connected);
        auto request = serving_fixture::orderRequest();
        request.headers[1].value = "id-" + std::to_string(i);
        EXPECT_EQ(node.serve(request)->status, 200);
    }
    EXPECT_GT(partitioned.requestCount(), 0);
}

TEST(request_forwarding, promises_nothing_and_asks_no_other_instance_once_an_unrepeatable_request_may_have_run)
{
    raw_upstream first(closeWithoutAnswer);
    raw_upstream second(closeWithoutAnswer);
    partitioned_fixture node;
    node.addPeer("entry-2", first);
    node.addPeer("entry-3", second);
    EXPECT_EQ(node.serve(serving_fixture::orderRequest())->status, 502);
    EXPECT_EQ(first.requestCount() + second.requestCount(), 1);
}

TEST(request_forwarding, keeps_a_body_in_its_home_regions)
{
    raw_upstream peer(answering("200 OK"));
    partitioned_fixture node;
    node.addPeer("entry-2", peer, "oriente");
    node.configuration.rules[1].homeRegions = { region_id("centro") };
    node.apply();
    EXPECT_EQ(node.serve(serving_fixture::orderRequest())->status, 503);
    EXPECT_EQ(peer.requestCount(), 0);
    node.configuration.rules[1].homeRegions = { region_id("oriente") };
    node.apply();
    EXPECT_EQ(node.serve(serving_fixture::orderRequest())->status, 200);
}

TEST(request_forwarding, is_not_repeated_by_the_instance_that_received_the_request)
{
    raw_upstream peer(answering("200 OK"));
    partitioned_fixture node;
    node.addPeer("entry-2", peer);
    node.begin(serving_fixture::orderRequest(), request_origin::instance);
    node.run(milliseconds(100));
    ASSERT_TRUE(node.lastAnswer);
    EXPECT_EQ(node.lastAnswer->status, 503);
    EXPECT_TRUE(isNotForwarded(*node.lastAnswer));
    EXPECT_EQ(peer.requestCount(), 0);
}

TEST(request_forwarding, leaves_the_receiver_no_more_attempts_than_the_sender_had)
{
    std::string seen;
    raw_upstream failing([&](raw_upstream& self, StreamSocket& connection, int) {
        seen = self.readRequest(connection);
        raw_upstream::send(connection, signedAnswer(seen, "500 Internal Server Error"));
    });
    raw_upstream other(answering("200 OK"));
    for (int i = 0; i < 4; ++i) {
        serving_fixture node;
        node.addUpstream("u-1", failing);
        node.addUpstream("u-2", other);
        auto request = serving_fixture::readRequest();
        request.headers[1].value = "id-" + std::to_string(i);
        request.headers.push_back({ attemptsLeftHeader, "1" });
        node.begin(request, request_origin::instance);
        node.run(milliseconds(300));
        ASSERT_TRUE(node.lastAnswer);
    }
    EXPECT_EQ(failing.requestCount() + other.requestCount(), 4);
    EXPECT_EQ(headerIn(seen, attemptsLeftHeader), "");
}

// RECOVER: a request that waited for an upstream when the partition began waited until its deadline.
TEST(request_forwarding, takes_over_a_request_that_waits_for_an_upstream_when_the_partition_is_noticed)
{
    raw_upstream silent([](raw_upstream& self, StreamSocket& connection, int) {
        self.readRequest(connection);
        self.waitForClose(connection);
    });
    raw_upstream peer(answering("200 OK"));
    partitioned_fixture node;
    node.state.link.beginCheck(monotonicNow());
    node.state.link.recordCheck(true, monotonicNow());
    node.addUpstream("u-1", silent);
    node.addPeer("entry-2", peer);
    const auto exchange = node.begin(serving_fixture::readRequest());
    node.run(milliseconds(100));
    node.state.link.beginCheck(monotonicNow());
    node.state.link.recordCheck(false, monotonicNow());
    for (const auto& flow : std::vector(node.state.openRequests.begin(), node.state.openRequests.end()))
        flow.second.lock()->onPartition();
    node.run(milliseconds(100));
    ASSERT_TRUE(node.lastAnswer);
    EXPECT_EQ(node.lastAnswer->status, 200);
}

} // namespace flamingoroute
