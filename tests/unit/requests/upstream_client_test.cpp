#include "flamingoroute/requests/upstream_client.hpp"

#include "flamingoroute/requests/header_rules.hpp"
#include "support/process/raw_upstream.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

using Poco::Net::StreamSocket;

caller_request deposit()
{
    caller_request request;
    request.id = "test-1";
    request.method = "POST";
    request.target = "/deposits";
    request.body = "amount=5";
    return request;
}

caller_request lookup()
{
    caller_request request;
    request.id = "test-2";
    request.method = "GET";
    request.target = "/tickets/7";
    request.isRepeatable = true;
    return request;
}

monotonic_time in(milliseconds time) { return monotonicNow() + time; }

/// Closes with a TCP reset instead of an orderly shutdown.
void reset(StreamSocket& connection)
{
    connection.setLinger(true, 0);
    connection.close();
}

/// @return the result of one deposit whose upstream answers @p bytes and closes
attempt_result resultOfAnswer(const std::string& bytes, const caller_request& request = deposit())
{
    raw_upstream fake([&](raw_upstream& self, StreamSocket& connection, int) {
        self.readRequest(connection);
        raw_upstream::send(connection, bytes);
    });
    upstream_client client;
    return client.attempt(fake.target(), request, in(milliseconds { 2000 }));
}

} // namespace

// MIXED: an answer whose status is none of HTTP must not reach the caller as an answer.
TEST(upstream_client, returns_no_answer_with_a_status_that_http_does_not_have)
{
    for (const std::string status : { "000", "099", "600", "999" }) {
        const auto result = resultOfAnswer("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nnone");
        EXPECT_EQ(result.outcome, attempt_outcome::unknown) << status;
    }
}

TEST(upstream_client, returns_a_complete_answer_with_content_length)
{
    const auto result = resultOfAnswer(sizedAnswer("paid", "Upstream-Load: 0.25\r\nX-Note: a\r\n"));
    EXPECT_EQ(result.outcome, attempt_outcome::answered);
    EXPECT_EQ(result.answer.body, "paid");
    EXPECT_EQ(headerValue(result.answer.headers, "X-Note"), "a");
    EXPECT_EQ(headerValue(result.answer.headers, "Upstream-Load"), "");
    EXPECT_DOUBLE_EQ(result.reportedLoad, 0.25);
}

TEST(upstream_client, returns_a_complete_chunked_answer)
{
    const auto result
        = resultOfAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    EXPECT_EQ(result.outcome, attempt_outcome::answered);
    EXPECT_EQ(result.answer.body, "abcde");
}

TEST(upstream_client, never_takes_an_answer_cut_at_any_byte_as_whole)
{
    const std::vector<std::string> wholeAnswers { sizedAnswer("paid twice?", "X-Note: a\r\n"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n" };
    for (const auto& whole : wholeAnswers) {
        std::atomic<std::size_t> length { 0 };
        raw_upstream fake([&](raw_upstream& self, StreamSocket& connection, int) {
            self.readRequest(connection);
            raw_upstream::send(connection, whole.substr(0, length));
        });
        upstream_client client;
        for (length = 0; length < whole.size(); ++length) {
            const auto result = client.attempt(fake.target(), deposit(), in(milliseconds { 2000 }));
            ASSERT_EQ(result.outcome, attempt_outcome::unknown) << whole.substr(0, length);
        }
        EXPECT_EQ(fake.requestCount(), static_cast<int>(whole.size()));
    }
}

TEST(upstream_client, never_accepts_an_answer_truncated_within_its_header)
{
    auto head = lookup();
    head.method = "HEAD";
    EXPECT_EQ(resultOfAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4", head).outcome, attempt_outcome::unknown);
    EXPECT_EQ(resultOfAnswer("HTTP/1.1 204 No Content\r\n").outcome, attempt_outcome::unknown);
}

TEST(upstream_client, reports_unknown_for_an_answer_without_framing)
{
    const auto result = resultOfAnswer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf or whole?");
    EXPECT_EQ(result.outcome, attempt_outcome::unknown);
}

TEST(upstream_client, reports_unknown_for_contradicting_lengths)
{
    EXPECT_EQ(resultOfAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd").outcome,
        attempt_outcome::unknown);
    EXPECT_EQ(
        resultOfAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").outcome,
        attempt_outcome::unknown);
}

TEST(upstream_client, expects_no_body_after_head_and_for_statuses_without_one)
{
    auto head = lookup();
    head.method = "HEAD";
    const auto answer = resultOfAnswer("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n", head);
    EXPECT_EQ(answer.outcome, attempt_outcome::answered);
    EXPECT_EQ(headerValue(answer.answer.headers, "Content-Length"), "400");
    EXPECT_EQ(resultOfAnswer("HTTP/1.1 204 No Content\r\n\r\n").outcome, attempt_outcome::answered);
    EXPECT_EQ(resultOfAnswer("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", lookup()).outcome,
        attempt_outcome::answered);
}

TEST(upstream_client, distinguishes_an_upstreams_own_refusal_from_an_answer)
{
    const std::string head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
    const auto refused = resultOfAnswer(head + "Upstream-Execution: not-run\r\nUpstream-Leaving: true\r\n\r\n");
    EXPECT_EQ(refused.outcome, attempt_outcome::refused);
    EXPECT_TRUE(refused.isUpstreamLeaving);
    EXPECT_EQ(resultOfAnswer(head + "\r\n").outcome, attempt_outcome::answered);
}

TEST(upstream_client, reports_not_sent_if_the_connection_is_refused)
{
    upstream target;
    {
        raw_upstream gone([](raw_upstream&, StreamSocket&, int) {});
        target = gone.target();
    }
    upstream_client client;
    EXPECT_EQ(client.attempt(target, deposit(), in(milliseconds { 500 })).outcome, attempt_outcome::not_sent);
    EXPECT_EQ(client.openConnections(), 0);
}

TEST(upstream_client, reports_unknown_if_a_new_connection_closes_after_the_request_was_written)
{
    for (const bool isReset : { false, true }) {
        raw_upstream fake([&](raw_upstream& self, StreamSocket& connection, int) {
            self.readRequest(connection);
            if (isReset)
                reset(connection);
        });
        upstream_client client;
        const auto result = client.attempt(fake.target(), deposit(), in(milliseconds { 2000 }));
        EXPECT_EQ(result.outcome, attempt_outcome::unknown);
        EXPECT_EQ(fake.requestCount(), 1);
    }
}

TEST(upstream_client, never_writes_twice_if_a_pooled_connection_ends_under_a_written_request)
{
    for (const bool isReset : { false, true }) {
        raw_upstream fake([&](raw_upstream& self, StreamSocket& connection, int) {
            self.readRequest(connection);
            raw_upstream::send(connection, sizedAnswer("first"));
            self.readRequest(connection);
            if (isReset)
                reset(connection);
        });
        upstream_client client;
        EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).answer.body, "first");
        const auto second = client.attempt(fake.target(), deposit(), in(milliseconds { 2000 }));
        EXPECT_EQ(second.outcome, attempt_outcome::unknown);
        EXPECT_EQ(fake.connectionCount(), 1);
        EXPECT_EQ(fake.requestCount(), 2);
    }
}

TEST(upstream_client, says_unknown_if_only_a_part_of_the_request_was_written)
{
    raw_upstream fake([](raw_upstream&, StreamSocket& connection, int) {
        char byte = 0;
        connection.receiveBytes(&byte, 1);
        reset(connection);
    });
    upstream_client client;
    auto large = deposit();
    large.body.assign(8 * 1024 * 1024, 'x');
    const auto result = client.attempt(fake.target(), large, in(milliseconds { 2000 }));
    EXPECT_EQ(result.outcome, attempt_outcome::unknown);
    EXPECT_EQ(fake.connectionCount(), 1);
}

TEST(upstream_client, opens_a_new_connection_if_the_pooled_one_was_closed_while_idle)
{
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int) {
        self.readRequest(connection);
        raw_upstream::send(connection, sizedAnswer("ok"));
    });
    upstream_client client;
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).outcome, attempt_outcome::answered);
    while (fake.closedCount() < 1)
        std::this_thread::yield();
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).outcome, attempt_outcome::answered);
    EXPECT_EQ(fake.requestCount(), 2);
}

TEST(upstream_client, never_reuses_a_connection_with_bytes_after_the_answer)
{
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int number) {
        self.readRequest(connection);
        const std::string own = "answer " + std::to_string(number);
        raw_upstream::send(connection, sizedAnswer(own) + sizedAnswer("of another request"));
        self.waitForClose(connection);
    });
    upstream_client client;
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).answer.body, "answer 1");
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).answer.body, "answer 2");
}

TEST(upstream_client, closes_the_connection_of_an_answer_that_comes_late)
{
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int number) {
        self.readRequest(connection);
        if (number == 1)
            self.waitForClose(connection);
        raw_upstream::send(connection, sizedAnswer("answer " + std::to_string(number)));
        self.waitForClose(connection);
    });
    upstream_client client;
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 100 })).outcome, attempt_outcome::unknown);
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).answer.body, "answer 2");
}

TEST(upstream_client, ends_at_the_deadline_even_if_the_answer_arrives_slowly)
{
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int) {
        self.readRequest(connection);
        const std::string answer = sizedAnswer(std::string(500, 'x'));
        for (const char byte : answer) {
            raw_upstream::send(connection, std::string(1, byte));
            std::this_thread::sleep_for(milliseconds { 5 });
        }
    });
    upstream_client client;
    const auto result = client.attempt(fake.target(), deposit(), in(milliseconds { 200 }));
    EXPECT_EQ(result.outcome, attempt_outcome::unknown);
    EXPECT_LT(result.duration, milliseconds { 1000 });
}

TEST(upstream_client, forwards_no_credential_and_no_hop_by_hop_header)
{
    std::mutex mutex;
    std::string received;
    raw_upstream fake([&](raw_upstream& self, StreamSocket& connection, int) {
        const auto text = self.readRequest(connection);
        const std::lock_guard lock(mutex);
        received = text;
        raw_upstream::send(connection, sizedAnswer(""));
    });
    auto request = deposit();
    request.key = "secret-0";
    request.headers = { { "Authorization", "Bearer secret-1" }, { "x-api-key", "secret-2" }, { "TE", "trailers" },
        { "Connection", "X-Hop" }, { "X-Hop", "hop" }, { "X-End", "end" }, { "Request-Deadline-Ms", "999999" } };
    upstream_client client;
    client.attempt(fake.target(), request, in(milliseconds { 2000 }));
    const std::lock_guard lock(mutex);
    EXPECT_EQ(received.find("secret"), std::string::npos) << received;
    EXPECT_EQ(received.find("hop"), std::string::npos) << received;
    EXPECT_NE(received.find("X-End: end\r\n"), std::string::npos) << received;
    EXPECT_EQ(received.find("999999"), std::string::npos) << received;
    EXPECT_NE(received.find("\r\n\r\namount=5"), std::string::npos) << received;
}

TEST(upstream_client, opens_no_more_connections_than_its_share_of_the_upstreams_limit)
{
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int) {
        self.readRequest(connection);
        self.waitForClose(connection);
    });
    auto target = fake.target();
    target.maxConnections = 4;
    upstream_client_options options;
    options.instancesPerUpstream = 2;
    upstream_client client(options);
    std::atomic<int> notSent { 0 };
    std::vector<std::thread> callers;
    constexpr int callerCount = 5;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&] {
            if (client.attempt(target, deposit(), in(milliseconds { 300 })).outcome == attempt_outcome::not_sent)
                ++notSent;
        });
    }
    for (auto& caller : callers)
        caller.join();
    EXPECT_EQ(fake.connectionCount(), 2);
    EXPECT_EQ(notSent, 3);
    EXPECT_EQ(client.openConnections(), 0);
}

TEST(upstream_client, moves_a_repeatable_request_off_a_silent_connection_and_drops_the_others)
{
    // Each of the first connections answers only its first request and is unresponsive afterwards.
    constexpr int oldConnections = 3;
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int number) {
        if (number > oldConnections)
            return answerAll(self, connection, sizedAnswer("ok"));
        self.readRequest(connection);
        std::this_thread::sleep_for(milliseconds { 100 });
        raw_upstream::send(connection, sizedAnswer("ok"));
        self.waitForClose(connection);
    });
    upstream_client client;
    std::vector<std::thread> callers;
    callers.reserve(oldConnections);
    for (int i = 0; i < oldConnections; ++i)
        callers.emplace_back([&] { client.attempt(fake.target(), lookup(), in(milliseconds { 2000 })); });
    for (auto& caller : callers)
        caller.join();
    ASSERT_EQ(client.openConnections(), oldConnections);
    const auto first = client.attempt(fake.target(), lookup(), in(milliseconds { 2000 }));
    EXPECT_EQ(first.outcome, attempt_outcome::answered);
    const auto second = client.attempt(fake.target(), deposit(), in(milliseconds { 2000 }));
    EXPECT_EQ(second.outcome, attempt_outcome::answered);
    EXPECT_LT(second.duration, milliseconds { 200 });
    EXPECT_EQ(client.openConnections(), 1);
}

TEST(upstream_client, sends_no_unrepeatable_request_on_a_connection_that_was_idle_for_long)
{
    raw_upstream fake([](raw_upstream& self, StreamSocket& connection, int number) {
        self.readRequest(connection);
        raw_upstream::send(connection, sizedAnswer("answer " + std::to_string(number)));
        self.waitForClose(connection);
    });
    upstream_client client;
    EXPECT_EQ(client.attempt(fake.target(), deposit(), in(milliseconds { 2000 })).outcome, attempt_outcome::answered);
    std::this_thread::sleep_for(milliseconds { 300 });
    const auto second = client.attempt(fake.target(), deposit(), in(milliseconds { 500 }));
    EXPECT_EQ(second.answer.body, "answer 2");
}

} // namespace flamingoroute::testing
