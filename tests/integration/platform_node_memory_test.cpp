#include "support/platform/platform_node_fixture.hpp"
#include "support/process/pipelining_caller.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <thread>

namespace flamingoroute::testing {

namespace {

/// Reads a request, sends @p begin and then @p part until the connection is closed.
raw_upstream::script answeringWithoutEnd(const std::string& begin, const std::string& part)
{
    return [=](raw_upstream& self, Poco::Net::StreamSocket& connection, int) {
        self.readRequest(connection);
        raw_upstream::send(connection, begin);
        for (;;)
            raw_upstream::send(connection, part);
    };
}

/// @return the largest amount of memory that the process has used so far
std::size_t peakMegabytes(pid_t process)
{
    constexpr std::size_t kilobytesPerMegabyte = 1024;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMegabyte;
    }
    return 0;
}

} // namespace

TEST_F(platform_node_test, keeps_its_memory_while_answers_of_upstreams_have_no_end)
{
    constexpr std::size_t memoryLimitMb = 260;
    constexpr int callers = 12;
    const std::string bytes(65536, 'x');
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    raw_upstream endlessBody(
        answeringWithoutEnd(ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + bytes + "\r\n"));
    raw_upstream endlessRest(answeringWithoutEnd(ok + "Connection: close\r\n\r\n", bytes));
    raw_upstream endlessHead(answeringWithoutEnd(ok, "X-More: " + bytes.substr(0, 100) + "\r\n"));
    raw_upstream endlessInterim(answeringWithoutEnd(interim, interim));
    store.remove("servers", "u-1");
    int number = 0;
    for (const auto* endless : { &endlessBody, &endlessRest, &endlessHead, &endlessInterim })
        store.put("servers", "endless-" + std::to_string(number++), upstreamText(*endless));
    ASSERT_TRUE(waitFor([&] { return node->log().find("upstream=endless-3") != std::string::npos; }));
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            const std::string id = "endless-" + std::to_string(i);
            EXPECT_GE(node->send(id, "k1", "GET", "/read/" + id).status, 502);
        });
    }
    for (auto& thread : threads)
        thread.join();
    EXPECT_LT(peakMegabytes(node->process().pid()), memoryLimitMb);
    store.put("servers", "u-1", upstreamText(upstream));
    for (int i = 0; i < number; ++i)
        store.remove("servers", "endless-" + std::to_string(i));
    EXPECT_TRUE(waitFor([&] { return node->send("after", "k1", "GET", "/read/1").status == 200; }));
}

// FAULT, LOST: bytes between the parts of a body were kept until the process was out of memory.
TEST_F(platform_node_test, keeps_its_memory_while_the_framing_of_an_upstreams_body_has_no_end)
{
    constexpr std::size_t memoryLimitMb = 260;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string bytes(65536, 'x');
    raw_upstream endlessExtension(answeringWithoutEnd(chunked + "1;a=", bytes));
    raw_upstream endlessSize(answeringWithoutEnd(chunked, std::string(65536, '0')));
    raw_upstream endlessTrailer(answeringWithoutEnd(chunked + "0\r\n", "X-More: " + bytes.substr(0, 1000) + "\r\n"));
    raw_upstream extendedChunks(answeringWithoutEnd(chunked, "1;a=" + bytes.substr(0, 16000) + "\r\nx\r\n"));
    store.remove("servers", "u-1");
    int number = 0;
    for (const auto* endless : { &endlessExtension, &endlessSize, &endlessTrailer, &extendedChunks })
        store.put("servers", "endless-" + std::to_string(number++), upstreamText(*endless));
    ASSERT_TRUE(waitFor([&] { return node->log().find("upstream=endless-3") != std::string::npos; }));
    constexpr int callers = 12;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            const std::string id = "framing-" + std::to_string(i);
            EXPECT_GE(node->send(id, "k1", "GET", "/read/" + id).status, 502);
        });
    }
    for (auto& thread : threads)
        thread.join();
    EXPECT_LT(peakMegabytes(node->process().pid()), memoryLimitMb);
    EXPECT_TRUE(node->process().isRunning());
}

TEST_F(platform_node_test, keeps_its_memory_while_the_framing_of_a_callers_body_has_no_end)
{
    constexpr std::size_t memoryLimitMb = 100;
    constexpr int maxParts = 6000;
    for (const std::string begin : { "1;a=", "", "0\r\nX-More: " }) {
        pipelining_caller caller(node->callers());
        auto headers = requestHeaders("framing", "k1");
        headers.push_back({ "Transfer-Encoding", "chunked" });
        caller.send("POST", "/order/1", headers);
        caller.sendBytes(begin);
        const std::string part(65536, '0');
        for (int i = 0; i < maxParts && caller.sendBytes(part); ++i) { }
        EXPECT_EQ(caller.receive().status / 100, 4) << begin;
    }
    EXPECT_LT(peakMegabytes(node->process().pid()), memoryLimitMb);
    EXPECT_EQ(node->send("after", "k1", "GET", "/read/1").status, 200);
}

} // namespace flamingoroute::testing
