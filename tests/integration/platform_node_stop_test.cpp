#include "support/platform/platform_node_fixture.hpp"
#include "support/process/http_caller.hpp"
#include "support/process/pipelining_caller.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sys/stat.h>
#include <thread>

namespace flamingoroute::testing {

TEST_F(platform_node_test, finishes_its_requests_after_sigterm_and_ends_with_exit_code_0)
{
    std::thread caller([&] { EXPECT_EQ(node->send("e1", "k1", "GET", "/read/1").status, 200); });
    caller.join();
    node->process().signal(SIGTERM);
    EXPECT_TRUE(waitFor([&] { return callOnce(node->readiness(), "GET", "/readiness").status == 503; }));
    EXPECT_EQ(node->send("e2", "k1", "GET", "/read/1").status, 200);
    const auto code = node->process().waitForExit(seconds { 6 });
    ASSERT_TRUE(code);
    EXPECT_EQ(*code, 0);
    EXPECT_TRUE(store.names("flamingoroute-members").empty());
}

// LOST: after SIGTERM the first answer of a connection closed it, and the requests sent ahead got no answer.
TEST_F(platform_node_test, answers_all_requests_that_were_sent_ahead_when_it_gets_sigterm)
{
    const std::array<std::array<const char*, 3>, 4> batches { { { "/read/1", "/read/slow-1", "/read/slow-2" },
        { "/read/slow-3", "/read/2", "/read/3" }, { "/read/slow-4", "/read/slow-5", "/read/4" },
        { "/nothing", "/read/slow-6", "/nothing" } } };
    for (const std::string name : { "u-2", "u-3" })
        store.put("servers", name, upstreamText(upstream));
    ASSERT_TRUE(waitFor([&] { return node->log().find("upstream=u-3") != std::string::npos; }));
    std::vector<pipelining_caller> callers;
    for (std::size_t i = 0; i < batches.size(); ++i) {
        callers.emplace_back(node->callers());
        for (const auto* target : batches.at(i)) {
            const std::string id = "ahead-" + std::to_string(i) + target;
            callers.back().send("GET", target, requestHeaders(id, "k1"));
        }
    }
    ASSERT_TRUE(waitFor([&] { return upstream.requestCount() >= 10; }));
    node->process().signal(SIGTERM);
    for (std::size_t i = 0; i < batches.size(); ++i) {
        for (const std::string target : batches.at(i)) {
            const auto reply = callers[i].receive();
            EXPECT_EQ(reply.status, target == "/nothing" ? 404 : 200) << target << " of " << i << ": " << reply.failure;
        }
    }
    const auto code = node->process().waitForExit(seconds { 6 });
    ASSERT_TRUE(code);
    EXPECT_EQ(*code, 0);
}

// FAULT: a process whose address an earlier one had not released yet ended itself.
TEST_F(platform_node_test, starts_as_soon_as_the_addresses_that_an_earlier_process_uses_are_free)
{
    for (const auto& address :
        { node->callers(), node->readiness(), node->lookups(), node->metrics(), node->peers() }) {
        node->process().signal(SIGKILL);
        ASSERT_TRUE(node->process().waitForExit(seconds { 6 }));
        {
            const Poco::Net::ServerSocket earlier(Poco::Net::SocketAddress(address.address, address.port));
            node->restart();
            const auto inUse = "step=" + std::string(address == node->peers() ? "peers" : "http")
                + ".listen peer=" + toString(address);
            ASSERT_TRUE(waitFor([&] { return node->log().find(inUse) != std::string::npos; })) << inUse;
            std::this_thread::sleep_for(milliseconds(200));
            EXPECT_TRUE(node->process().isRunning()) << toString(address);
        }
        ASSERT_TRUE(node->waitUntilReady()) << toString(address) << node->log();
        EXPECT_EQ(node->send("f1", "k1", "GET", "/read/1").status, 200);
        EXPECT_TRUE(waitFor([&] { return callOnce(node->metrics(), "GET", "/metrics").status == 200; }));
    }
}

// FAULT: a change of the settings that was announced while a process started ended it.
TEST_F(platform_node_test, survives_a_sighup_before_it_has_read_its_settings)
{
    node->process().signal(SIGKILL);
    ASSERT_TRUE(node->process().waitForExit(seconds { 6 }));
    const auto pipe = node->settingsFile() + ".pipe";
    ASSERT_EQ(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
    child_process process(
        std::string(FLAMINGOROUTE_BINARY_DIR) + "/flamingo-node", { "--settings=" + pipe }, node->logFile());
    std::ofstream settings(pipe); // returns when the process has opened it, too
    process.signal(SIGHUP);
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_TRUE(process.isRunning());
    settings << std::ifstream(node->settingsFile()).rdbuf();
    settings.close();
    EXPECT_TRUE(node->waitUntilReady());
    std::remove(pipe.c_str());
}

TEST_F(platform_node_test, ends_with_exit_code_0_after_sigterm_while_an_address_is_in_use)
{
    node->process().signal(SIGKILL);
    ASSERT_TRUE(node->process().waitForExit(seconds { 6 }));
    const Poco::Net::ServerSocket earlier(Poco::Net::SocketAddress(node->callers().address, node->callers().port));
    node->restart();
    ASSERT_TRUE(waitFor([&] { return node->log().find("event=node.address_in_use") != std::string::npos; }));
    node->process().signal(SIGTERM);
    const auto code = node->process().waitForExit(seconds { 4 });
    ASSERT_TRUE(code);
    EXPECT_EQ(*code, 0);
}

} // namespace flamingoroute::testing
