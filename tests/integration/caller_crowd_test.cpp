#include "support/platform/platform_node_fixture.hpp"
#include "support/process/pipelining_caller.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

namespace flamingoroute::testing {

namespace {

constexpr platform_node_limits limits { 64, 256 };
constexpr std::size_t maxBodyBytes = 4U << 20U;
constexpr std::size_t bodyBytes = 3U << 20U;
constexpr std::size_t missingBytes = 3;
constexpr int uploads = 24;
constexpr std::size_t largeChunk = 65536;
constexpr std::size_t smallChunk = 8;

std::string withBodyLimit(std::string configuration)
{
    const std::string usual = R"("body_bytes":1048576)";
    return configuration.replace(
        configuration.find(usual), usual.size(), R"("body_bytes":)" + std::to_string(maxBodyBytes));
}

std::size_t peakKilobytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

int descriptorsOf(pid_t process)
{
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(process) + "/fd");
    return static_cast<int>(std::distance(begin(open), end(open)));
}

/// @return the bytes on their way to @p port that its process has not read
std::size_t unreadBytes(int port)
{
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line);
    std::size_t total = 0;
    while (std::getline(sockets, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // to send, colon, received
        fields >> slot >> local >> remote >> state >> queues;
        const auto portOf = [](const std::string& address) { return std::stoi(address.substr(9), nullptr, 16); };
        if (portOf(local) == port)
            total += std::stoul(queues.substr(9), nullptr, 16);
        if (portOf(remote) == port)
            total += std::stoul(queues.substr(0, 8), nullptr, 16);
    }
    return total;
}

std::string chunkOf(std::size_t size)
{
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    return text.str();
}

} // namespace

/// A node with little memory, and callers whose connections stay open until the test ends.
class caller_crowd_test : public platform_node_test {
public:
    void SetUp() override // NOLINT(readability-identifier-naming)
    {
        store.put("config", "main", withBodyLimit(configurationText(2, "k1")));
        node = std::make_unique<platform_node>("crowd", store.address(), "centro-a", limits);
        ASSERT_TRUE(node->waitUntilReady());
    }

    void TearDown() override // NOLINT(readability-identifier-naming)
    {
        const auto pid = node->process().pid();
        constexpr std::size_t kilobytesPerMegabyte = 1024;
        while (node->process().isRunning() && unreadBytes(node->callers().port) > 0)
            std::this_thread::sleep_for(milliseconds(50));
        ASSERT_TRUE(node->process().isRunning());
        EXPECT_LT(descriptorsOf(pid), limits.fileDescriptors);
        EXPECT_TRUE(waitFor([&] { return node->send("after", "k1", "GET", "/read/1").status == 200; }));
        EXPECT_LT(peakKilobytes(pid), limits.memoryMegabytes * kilobytesPerMegabyte);
    }

    /// Opens one connection for each caller and sends the head of an upload on it.
    /// @param framing header with the length or the transfer coding
    void openUploads(const http_header& framing, const std::string& key = "k1")
    {
        for (int i = 0; i < uploads; ++i) {
            callers.push_back(std::make_unique<pipelining_caller>(node->callers()));
            auto headers = requestHeaders("crowd-" + std::to_string(i), key);
            headers.push_back(framing);
            callers.back()->send("POST", "/order/slow", headers);
        }
    }

    /// Sends @p total bytes on each connection, @p part bytes on each in turn.
    void sendInTurn(const std::string& part, std::size_t total)
    {
        for (std::size_t sent = 0; sent < total; sent += part.size()) {
            for (auto& caller : callers)
                caller->sendBytes(part.substr(0, std::min(part.size(), total - sent)));
        }
    }

    /// Sends chunked bodies that lack the end of their last chunk.
    void sendOpenChunks(std::size_t chunk, const std::string& key)
    {
        openUploads({ "Transfer-Encoding", "chunked" }, key);
        std::string part;
        while (part.size() < largeChunk)
            part += chunkOf(chunk);
        const std::size_t chunks = bodyBytes / chunk;
        sendInTurn(part, chunks * chunkOf(chunk).size() - missingBytes);
    }

    std::vector<std::unique_ptr<pipelining_caller>> callers;
};

TEST_F(caller_crowd_test, of_whole_bodies_at_once_does_not_end_the_process)
{
    openUploads({ "Content-Length", std::to_string(bodyBytes) });
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (auto& caller : callers)
        threads.emplace_back([&caller] { caller->sendBytes(std::string(bodyBytes, 'x')); });
    for (auto& thread : threads)
        thread.join();
}

TEST_F(caller_crowd_test, of_bodies_that_stop_short_of_their_end_does_not_end_the_process)
{
    openUploads({ "Content-Length", std::to_string(bodyBytes) });
    sendInTurn(std::string(largeChunk, 'x'), bodyBytes - missingBytes);
}

TEST_F(caller_crowd_test, without_a_key_of_bodies_that_stop_short_of_their_end_does_not_end_the_process)
{
    openUploads({ "Content-Length", std::to_string(bodyBytes) }, "unknown");
    sendInTurn(std::string(largeChunk, 'x'), bodyBytes - missingBytes);
}

TEST_F(caller_crowd_test, of_large_chunks_that_stop_short_of_their_end_does_not_end_the_process)
{
    sendOpenChunks(largeChunk, "k1");
}

TEST_F(caller_crowd_test, of_small_chunks_that_stop_short_of_their_end_does_not_end_the_process)
{
    sendOpenChunks(smallChunk, "k1");
}

TEST_F(caller_crowd_test, without_a_key_of_small_chunks_that_stop_short_does_not_end_the_process)
{
    sendOpenChunks(smallChunk, "unknown");
}

TEST_F(caller_crowd_test, of_announced_bodies_over_the_limit_does_not_end_the_process)
{
    openUploads({ "Content-Length", "4294967296" });
    sendInTurn(std::string(largeChunk, 'x'), 2 * maxBodyBytes);
}

TEST_F(caller_crowd_test, of_chunks_over_the_limit_does_not_end_the_process)
{
    openUploads({ "Transfer-Encoding", "chunked" });
    sendInTurn(chunkOf(largeChunk), 2 * maxBodyBytes);
}

TEST_F(caller_crowd_test, of_heads_that_stop_short_of_their_end_does_not_end_the_process)
{
    constexpr std::size_t headBytes = 15000;
    constexpr int heads = 400;
    for (int i = 0; i < heads; ++i) {
        callers.push_back(std::make_unique<pipelining_caller>(node->callers()));
        callers.back()->sendBytes(
            "GET /read/1 HTTP/1.1\r\nHost: counter.example\r\nX-More: " + std::string(headBytes, 'x'));
    }
}

TEST_F(caller_crowd_test, of_silent_connections_does_not_end_the_process)
{
    constexpr int connections = 400;
    for (int i = 0; i < connections; ++i)
        callers.push_back(std::make_unique<pipelining_caller>(node->callers()));
}

} // namespace flamingoroute::testing
