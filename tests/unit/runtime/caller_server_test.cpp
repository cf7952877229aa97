#include "flamingoroute/runtime/caller_server.hpp"

#include "support/process/free_port.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <array>
#include <mutex>
#include <vector>

namespace flamingoroute::testing {

namespace {

class caller_server_test : public ::testing::Test {
public:
    caller_server_test()
        : where(freeLoopbackEndpoint())
        , server(options(), "test-", hooks())
    {
    }

    void SetUp() override { ASSERT_TRUE(server.start(where)); } // NOLINT(readability-identifier-naming)

    static entry_options options()
    {
        entry_options result;
        result.callerThreads = 8;
        result.maxBodyBytes = 1000;
        result.callerTimeout = milliseconds { 300 };
        return result;
    }

    caller_server_hooks hooks()
    {
        caller_server_hooks result;
        result.serve = [this](const caller_request& request) {
            const std::lock_guard lock(mutex);
            served.push_back(request);
            return caller_answer { 200, {}, "answer to " + request.target };
        };
        result.lookUp = [](const std::string&) { return caller_answer {}; };
        result.isReady = [] { return true; };
        return result;
    }

    /// Sends raw bytes.
    /// @return everything received until the server closed the connection or sent nothing for a while
    std::string exchange(const std::string& bytes, bool isClosingFirst = false) const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(where.address, where.port));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (isClosingFirst)
            socket.shutdownSend();
        std::string received;
        std::array<char, 4096> buffer;
        const Poco::Timespan maxWait(0, 1'500'000);
        while (socket.poll(maxWait, Poco::Net::Socket::SELECT_READ)) {
            const int count = socket.receiveBytes(buffer.data(), buffer.size());
            if (count <= 0)
                break;
            received.append(buffer.data(), count);
        }
        return received;
    }

    /// Expects that @p bytes are refused with @p status and not run, and that the connection is closed.
    void expectRefused(const std::string& bytes, const std::string& status, bool isClosingFirst = false)
    {
        const auto received = exchange(bytes + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n", isClosingFirst);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 " + status)) << received;
        EXPECT_NE(received.find("Flamingo-Execution: not-run"), std::string::npos) << received;
        EXPECT_NE(received.find("Connection: Close"), std::string::npos) << received;
        EXPECT_TRUE(served.empty());
    }

    endpoint where;
    std::mutex mutex;
    std::vector<caller_request> served;
    caller_server server;
};

const std::string close = "Connection: close\r\n";

} // namespace

TEST_F(caller_server_test, reads_bodies_with_a_length_and_in_chunks_on_one_connection)
{
    const auto received = exchange("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                                   "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        + close + "\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    ASSERT_EQ(served.size(), 2U) << received;
    EXPECT_EQ(served[0].body, "abc");
    EXPECT_EQ(served[1].body, "def");
    EXPECT_NE(received.find("answer to /b"), std::string::npos) << received;
}

TEST_F(caller_server_test, removes_every_copy_of_the_key_from_the_request)
{
    exchange("GET /a?api_key=secret&x=1 HTTP/1.1\r\nHost: a\r\nauthorization: Bearer secret\r\nX-API-KEY: secret\r\n"
             "Authorization: Bearer secret\r\nX-Keep: yes\r\n"
        + close + "\r\n");
    ASSERT_EQ(served.size(), 1U);
    EXPECT_EQ(served[0].key, "secret");
    EXPECT_EQ(served[0].target, "/a?x=1");
    for (const auto& header : served[0].headers)
        EXPECT_EQ(header.value.find("secret"), std::string::npos) << header.name;
}

TEST_F(caller_server_test, refuses_a_body_that_is_framed_in_two_ways)
{
    expectRefused(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400");
}

TEST_F(caller_server_test, refuses_a_request_without_a_host) { expectRefused("GET /a HTTP/1.1\r\n\r\n", "400"); }

TEST_F(caller_server_test, refuses_contradicting_lengths_and_unknown_codings)
{
    expectRefused("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc", "400");
    expectRefused("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400");
    expectRefused("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "400");
}

TEST_F(caller_server_test, closes_the_connection_of_a_request_whose_length_is_not_a_number)
{
    exchange("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabcGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(served.empty());
}

TEST_F(caller_server_test, refuses_an_incomplete_body)
{
    const std::string sized = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 300\r\n\r\nabc";
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    for (const auto& bytes : { sized, chunked }) {
        const auto halfClosed = exchange(bytes, true);
        EXPECT_TRUE(halfClosed.starts_with("HTTP/1.1 400")) << halfClosed;
        const auto slow = exchange(bytes);
        EXPECT_TRUE(slow.starts_with("HTTP/1.1 408")) << slow;
    }
    EXPECT_TRUE(served.empty());
}

TEST_F(caller_server_test, refuses_what_is_too_large)
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: a\r\n";
    expectRefused(start + "Content-Length: 1001\r\n\r\n", "413");
    expectRefused(start + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x'), "413");
    expectRefused("GET /" + std::string(9000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n", "414");
    std::string headers;
    for (int i = 0; i < 5; ++i)
        headers += "X-" + std::to_string(i) + ": " + std::string(8000, 'x') + "\r\n";
    expectRefused(start + headers + "\r\n", "431");
}

TEST_F(caller_server_test, answers_expect_100_continue_before_the_body)
{
    const auto received
        = exchange("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n" + close + "\r\nabc");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 100")) << received;
    EXPECT_NE(received.find("answer to /a"), std::string::npos) << received;
}

TEST_F(caller_server_test, sends_no_body_with_the_answer_to_head)
{
    const auto received = exchange("HEAD /a HTTP/1.1\r\nHost: a\r\n" + close + "\r\n");
    EXPECT_NE(received.find("Content-Length: 12"), std::string::npos) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\n")) << received;
}

} // namespace flamingoroute::testing
