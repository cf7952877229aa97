#include "flamingoroute/proxy/http_listener.hpp"

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/proxy/body_budget.hpp"
#include "flamingoroute/requests/header_rules.hpp"
#include "support/process/free_port.hpp"

#include <Poco/Net/StreamSocket.h>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>

namespace flamingoroute {

namespace {

/// A listener whose requests the test answers explicitly, and one caller on a raw socket.
class listener_fixture {
public:
    /// @param bodies decides which bodies are read
    explicit listener_fixture(body_policy bodies = {})
        : m_listener(
            m_loop, [this](auto exchange) { handle(std::move(exchange)); }, [this] { return limits; },
            std::move(bodies))
    {
        const auto where = testing::freeLoopbackEndpoint();
        EXPECT_TRUE(m_listener.listen(where, 16));
        m_address = Poco::Net::SocketAddress(where.address, where.port);
        m_caller.connect(m_address);
        m_caller.setReceiveTimeout(Poco::Timespan(0, 20'000));
    }

    void send(const std::string& text)
    {
        m_caller.sendBytes(text.data(), static_cast<int>(text.size()));
        run(30);
    }

    /// @return the bytes received so far
    std::string receive()
    {
        run(30);
        std::string text;
        std::array<char, 65536> buffer {};
        try {
            for (int size = 1; size > 0;) {
                size = m_caller.receiveBytes(buffer.data(), buffer.size());
                isClosed = size == 0;
                text.append(buffer.data(), static_cast<std::size_t>(std::max(0, size)));
            }
        } catch (const Poco::TimeoutException&) {
            return text;
        }
        return text;
    }

    void disconnect() { m_caller.close(); }

    void run(int ms)
    {
        m_loop.restart();
        m_loop.run_for(milliseconds(ms));
    }

    http_listener& listener() { return m_listener; }
    const Poco::Net::SocketAddress& address() const { return m_address; }

    caller_limits limits;
    std::vector<std::shared_ptr<caller_exchange>> open;
    bool refusesAll = false; ///< answers each request while it is read, as a leaving node
    bool isClosed = false;

private:
    void handle(std::shared_ptr<caller_exchange> exchange)
    {
        if (refusesAll)
            exchange->answer({ 503, {}, exchange->request.target }, true);
        open.push_back(std::move(exchange));
    }

    boost::asio::io_context m_loop;
    http_listener m_listener;
    Poco::Net::SocketAddress m_address;
    Poco::Net::StreamSocket m_caller;
};

std::string requestFor(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

caller_answer answerWithBody(const std::string& body) { return { 200, {}, body }; }

std::string threeRequests() { return requestFor("/1") + requestFor("/2") + requestFor("/3"); }

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

/// Expects the answers "one", "two" and "three" in this order, and only the last one to announce the close.
void expectThreeAnswers(const std::string& text)
{
    EXPECT_LT(text.find("one"), text.find("two"));
    EXPECT_LT(text.find("two"), text.find("three"));
    EXPECT_NE(text.find("three"), std::string::npos) << text;
    EXPECT_EQ(countOf(text, "Connection: close"), 1U);
    EXPECT_GT(text.find("Connection: close"), text.find("two"));
}

/// @return a policy with memory for @p bytes; heads are refused with the status in a header `Refuse`
body_policy policyFor(std::size_t bytes)
{
    body_policy policy;
    policy.admit = [](const http_request& head) {
        const auto status = headerValue(head.headers, "Refuse");
        return status.empty() ? body_admission { {}, "owner" }
                              : body_admission { caller_answer { std::stoi(status), {}, "refused" }, {} };
    };
    policy.refuse = [](body_refusal) { return caller_answer { 503, {}, "no room" }; };
    policy.budget = std::make_shared<body_budget>(bytes);
    return policy;
}

} // namespace

TEST(caller_connection, refuses_a_large_body_by_its_head_and_never_hands_it_on)
{
    listener_fixture node(policyFor(1U << 20U));
    node.send("POST /1 HTTP/1.1\r\nHost: a\r\nRefuse: 401\r\nContent-Length: 100000\r\n\r\nab");
    EXPECT_EQ(node.receive().rfind("HTTP/1.1 401", 0), 0U);
    node.send(std::string(99998, 'x'));
    EXPECT_TRUE(node.open.empty());
}

TEST(caller_connection, refuses_a_body_without_room_and_returns_its_memory)
{
    const auto policy = policyFor(300000);
    listener_fixture node(policy);
    node.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n" + std::string(400000, 'x'));
    EXPECT_EQ(node.receive().rfind("HTTP/1.1 503", 0), 0U);
    EXPECT_TRUE(node.open.empty());
    EXPECT_EQ(policy.budget->used(), 0U);
}

TEST(caller_connection, counts_a_body_until_its_request_is_answered)
{
    const auto policy = policyFor(1U << 20U);
    listener_fixture node(policy);
    node.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x'));
    ASSERT_EQ(node.open.size(), 1U);
    EXPECT_GE(policy.budget->used(), 100000U);
    node.open[0]->answer(answerWithBody("one"), false);
    EXPECT_EQ(policy.budget->used(), 0U);
}

TEST(caller_connection, closes_the_connection_that_has_been_idle_for_longest_when_there_are_too_many)
{
    listener_fixture node;
    constexpr int others = 16;
    std::vector<Poco::Net::StreamSocket> silent;
    node.send(requestFor("/1"));
    for (int i = 0; i < others; ++i) {
        silent.emplace_back();
        silent.back().connect(node.address());
        node.run(5);
    }
    EXPECT_EQ(node.listener().connectionCount(), 16U);
    EXPECT_EQ(node.listener().refusedCount(), 1U);
    node.open[0]->answer(answerWithBody("one"), false);
    EXPECT_NE(node.receive().find("one"), std::string::npos) << "a connection with an open request is not idle";
}

TEST(caller_connection, hands_on_all_requests_sent_ahead_and_answers_them_in_their_order)
{
    listener_fixture node;
    node.send(requestFor("/1") + requestFor("/2") + requestFor("/3"));
    ASSERT_EQ(node.open.size(), 3U);
    node.open[2]->answer(answerWithBody("three"), false);
    node.open[0]->answer(answerWithBody("one"), false);
    const auto early = node.receive();
    EXPECT_NE(early.find("one"), std::string::npos);
    EXPECT_EQ(early.find("three"), std::string::npos);
    node.open[1]->answer(answerWithBody("two"), false);
    const auto rest = node.receive();
    EXPECT_LT(rest.find("two"), rest.find("three"));
}

TEST(caller_connection, reads_a_body_in_chunks_and_one_with_a_length)
{
    listener_fixture node;
    node.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
              "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nfg");
    ASSERT_EQ(node.open.size(), 2U);
    EXPECT_EQ(node.open[0]->request.body, "abcde");
    EXPECT_EQ(node.open[1]->request.body, "fg");
}

TEST(caller_connection, answers_400_to_a_malformed_request_and_431_or_413_to_one_that_is_too_large)
{
    listener_fixture malformed;
    malformed.send("what is this\r\n\r\n");
    EXPECT_EQ(malformed.receive().rfind("HTTP/1.1 400", 0), 0U);
    listener_fixture largeHeader;
    largeHeader.limits.headerBytes = 100;
    largeHeader.send("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    EXPECT_EQ(largeHeader.receive().rfind("HTTP/1.1 431", 0), 0U);
    listener_fixture largeBody;
    largeBody.limits.bodyBytes = 10;
    largeBody.send("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    EXPECT_EQ(largeBody.receive().rfind("HTTP/1.1 413", 0), 0U);
}

TEST(caller_connection, rejects_a_request_with_two_lengths_or_a_length_and_chunks)
{
    listener_fixture two;
    two.send("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    EXPECT_TRUE(two.open.empty());
    listener_fixture both;
    both.send("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(both.open.empty());
}

// UNASKED: a request inside a body of an unknown transfer coding was run, and the outer one with an empty body.
TEST(caller_connection, rejects_a_request_whose_only_transfer_coding_is_not_chunked)
{
    for (const std::string coding : { "gzip", "identity", "chunked, identity", "gzip, chunked", "xchunked", "" }) {
        listener_fixture node;
        node.send(
            "POST /outer HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + requestFor("/inner"));
        EXPECT_TRUE(node.open.empty()) << coding;
        EXPECT_EQ(node.receive().rfind("HTTP/1.1 400", 0), 0U) << coding;
        EXPECT_TRUE(node.isClosed) << coding;
    }
    listener_fixture chunked;
    chunked.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
    EXPECT_EQ(chunked.open.size(), 1U);
}

TEST(caller_connection, reports_a_caller_that_has_disconnected)
{
    listener_fixture node;
    node.send(requestFor("/1"));
    ASSERT_EQ(node.open.size(), 1U);
    bool isDisconnected = false;
    node.open[0]->onDisconnect = [&] { isDisconnected = true; };
    node.disconnect();
    node.run(50);
    EXPECT_TRUE(isDisconnected);
}

TEST(caller_connection, ends_behind_its_last_answer_when_the_node_leaves)
{
    listener_fixture node;
    node.send(requestFor("/1") + requestFor("/2"));
    node.listener().drainConnections();
    EXPECT_TRUE(node.listener().isBusy());
    node.open[0]->answer(answerWithBody("one"), false);
    node.open[1]->answer(answerWithBody("two"), false);
    const auto text = node.receive();
    EXPECT_LT(text.find("one"), text.find("two"));
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(node.isClosed);
    node.disconnect();
    node.run(50);
    EXPECT_FALSE(node.listener().isBusy());
}

// LOST: the first answer of a leaving node closed the connection and dropped the requests behind it.
TEST(caller_connection, answers_three_requests_sent_ahead_before_it_closes_for_a_leaving_node)
{
    const std::array<std::string, 3> bodies { "one", "two", "three" };
    for (const auto& order : { std::array { 0U, 1U, 2U }, { 2U, 1U, 0U }, { 1U, 2U, 0U }, { 2U, 0U, 1U } }) {
        listener_fixture node;
        node.send(threeRequests());
        ASSERT_EQ(node.open.size(), 3U);
        std::string text;
        for (const auto index : order) {
            node.open[index]->answer(answerWithBody(bodies.at(index)), true);
            text += node.receive();
        }
        expectThreeAnswers(text);
        EXPECT_TRUE(node.isClosed);
    }
}

TEST(caller_connection, announces_the_close_with_an_answer_that_was_ready_before_the_node_left)
{
    listener_fixture node;
    node.send(threeRequests());
    node.open[2]->answer(answerWithBody("three"), false);
    node.open[1]->answer(answerWithBody("two"), false);
    node.listener().drainConnections();
    node.open[0]->answer(answerWithBody("one"), false);
    expectThreeAnswers(node.receive());
    EXPECT_TRUE(node.isClosed);
}

TEST(caller_connection, answers_all_requests_of_one_packet_that_a_leaving_node_refuses)
{
    listener_fixture node;
    node.refusesAll = true;
    node.send(threeRequests());
    const auto text = node.receive();
    EXPECT_EQ(countOf(text, "HTTP/1.1 503"), 3U) << text;
    EXPECT_EQ(countOf(text, "Connection: close"), 1U);
    EXPECT_TRUE(node.isClosed);
}

TEST(caller_connection, serves_a_request_that_arrives_behind_an_open_one_of_a_leaving_node)
{
    listener_fixture node;
    node.send(requestFor("/1") + requestFor("/2"));
    node.open[0]->answer(answerWithBody("one"), true);
    auto text = node.receive();
    node.send("GET /3 HTTP/1.1\r\nHos");
    node.open[1]->answer(answerWithBody("two"), true);
    text += node.receive();
    node.send("t: a\r\n\r\n");
    ASSERT_EQ(node.open.size(), 3U);
    node.open[2]->answer(answerWithBody("three"), true);
    expectThreeAnswers(text + node.receive());
    EXPECT_TRUE(node.isClosed);
}

TEST(caller_connection, delivers_its_answers_while_the_caller_sends_behind_the_close)
{
    listener_fixture node;
    node.send(requestFor("/1"));
    node.open[0]->answer(answerWithBody("one"), false);
    node.run(20);
    node.listener().drainConnections();
    EXPECT_TRUE(node.listener().isBusy()) << "the answer may not have reached the caller";
    node.send(requestFor("/2"));
    node.send(requestFor("/3"));
    const auto text = node.receive();
    EXPECT_NE(text.find("one"), std::string::npos);
    EXPECT_TRUE(node.isClosed);
    EXPECT_EQ(node.open.size(), 1U);
    node.disconnect();
    node.run(30);
    EXPECT_FALSE(node.listener().isBusy());
}

TEST(caller_connection, closes_after_an_answer_that_was_being_written_when_the_node_left)
{
    listener_fixture node;
    node.send(requestFor("/1"));
    node.open[0]->answer(answerWithBody("one"), false);
    node.listener().drainConnections();
    EXPECT_NE(node.receive().find("one"), std::string::npos);
    EXPECT_TRUE(node.isClosed);
}

TEST(caller_connection, closes_for_a_leaving_node_although_the_caller_keeps_its_side_open)
{
    listener_fixture node;
    node.run(20);
    node.listener().drainConnections();
    node.run(1200);
    EXPECT_FALSE(node.listener().isBusy());
    EXPECT_EQ(node.listener().connectionCount(), 0U);
}

TEST(caller_connection, answers_408_to_an_incomplete_header_after_the_timeout)
{
    listener_fixture node;
    node.limits.headerTimeout = milliseconds(80);
    node.send("GET / HTTP/1.1\r\nHost:");
    node.run(150);
    EXPECT_EQ(node.receive().rfind("HTTP/1.1 408", 0), 0U);
}

TEST(caller_connection, closes_an_idle_connection_after_the_idle_timeout_and_not_before)
{
    listener_fixture node;
    node.limits.idleTimeout = milliseconds(200);
    node.send(requestFor("/1"));
    node.open[0]->answer(answerWithBody("one"), false);
    node.receive();
    EXPECT_FALSE(node.isClosed);
    node.run(20000 / 50);
    node.receive();
    EXPECT_TRUE(node.isClosed);
}

TEST(caller_connection, sends_100_continue_to_a_caller_that_expects_it)
{
    listener_fixture node;
    node.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_EQ(node.receive().rfind("HTTP/1.1 100", 0), 0U);
    node.send("ab");
    ASSERT_EQ(node.open.size(), 1U);
    EXPECT_EQ(node.open[0]->request.body, "ab");
}

} // namespace flamingoroute
