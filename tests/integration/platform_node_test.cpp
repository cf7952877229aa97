#include "support/platform/platform_node.hpp"
#include "support/platform/platform_store_stand_in.hpp"
#include "support/process/http_caller.hpp"
#include "support/process/pipelining_caller.hpp"
#include "support/process/raw_upstream.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <sys/stat.h>
#include <thread>

namespace flamingoroute::testing {

namespace {

std::string configurationText(int version, const std::string& key)
{
    return R"({"version":"r)" + std::to_string(version)
        + R"(","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","attempts",)"
          R"("service"],"rows":[["read","counter.example","/read/","idempotent","1000ms","400ms",2,2,"counter"],)"
          R"(["order","counter.example","/order/","non_idempotent","1000ms","400ms",1,2,"counter"]]},)"
          R"("services":{"columns":["name","health_check_path","connection_limit","cold_start","cold_per_s"],)"
          R"("rows":[["counter","/health",300,"3s",6]]},)"
          R"("limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},)"
          R"("tenants":{"columns":["name","api_keys","requests_per_s","burst"],"rows":[["ronda",[")"
        + key + R"("],null,null]]}})";
}

std::string upstreamText(const raw_upstream& upstream)
{
    return R"({"service":"counter","address":")" + toString(upstream.target().address)
        + R"(","zone":"centro-a","version":"v1","slots":4,"state":"ready","cold_remaining":"0ms","sequence":1,"born":7})";
}

void answerAll(raw_upstream& self, Poco::Net::StreamSocket& connection, int)
{
    for (auto request = self.readRequest(connection); !request.empty(); request = self.readRequest(connection)) {
        if (request.find("/silent") != std::string::npos) {
            self.waitForClose(connection);
            return;
        }
        if (request.find("/slow") != std::string::npos)
            std::this_thread::sleep_for(milliseconds(500));
        raw_upstream::send(connection,
            "HTTP/1.1 200 OK\r\nX-Flamingoroute-Request-Id: " + headerIn(request, "X-Flamingoroute-Request-Id")
                + "\r\nX-Flamingoroute-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone");
    }
}

/// @return entries of upstreams as another writer may leave them
std::vector<std::string> oddEntries(const raw_upstream& upstream)
{
    constexpr int depth = 100'000;
    const std::string good = upstreamText(upstream);
    const std::string rest = good.substr(1);
    const auto with = [&](const std::string& from, const std::string& to) {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    return { R"({"extra":)" + std::string(depth, '[') + std::string(depth, ']') + "," + rest,
        R"({"extra":)" + std::string(500, '[') + std::string(500, ']') + "," + rest, R"({"extra":1e999,)" + rest,
        R"({"extra":-1e999,)" + rest, R"({"extra":)" + std::string(400, '9') + "," + rest,
        with("\"slots\":4", "\"slots\":4e400"), with("\"slots\":4", "\"slots\":99999999999999999999999"),
        with("\"slots\":4", "\"slots\":4294967297"), with("\"born\":7", "\"born\":-7"),
        with("\"born\":7", "\"born\":7e30"), with("\"sequence\":1", "\"sequence\":18446744073709551616"),
        with(toString(upstream.target().address), "127.0.0.1:70000"), with("\"0ms\"", "\"1e400ms\""),
        with("\"ready\"", "[]") };
}

std::vector<http_header> requestHeaders(const std::string& id, const std::string& key)
{
    return { { "Host", "counter.example" }, { "X-Flamingoroute-Request-Id", id },
        { "X-Flamingoroute-Deadline-Remaining", "3000" }, { "Authorization", "Bearer " + key } };
}

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

bool waitFor(const std::function<bool()>& condition)
{
    constexpr milliseconds step { 20 };
    constexpr int tries = 400;
    for (int i = 0; i < tries; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(step);
    }
    return false;
}

/// @return what a shell command prints
std::string outputOf(const std::string& command)
{
    std::string text;
    std::array<char, 4096> buffer {};
    std::FILE* pipe = popen(command.c_str(), "r");
    while (pipe != nullptr && std::fgets(buffer.data(), buffer.size(), pipe) != nullptr)
        text += buffer.data();
    if (pipe != nullptr)
        pclose(pipe);
    return text;
}

/// One node, its store and one upstream.
class platform_node_test : public ::testing::Test {
public:
    platform_node_test()
        : upstream(answerAll)
    {
        store.put("config", "main", configurationText(1, "k1"));
        store.put("servers", "u-1", upstreamText(upstream));
        node = std::make_unique<platform_node>("node-1", store.address());
    }

    void SetUp() override { ASSERT_TRUE(node->waitUntilReady()); } // NOLINT(readability-identifier-naming)

    platform_store_stand_in store;
    raw_upstream upstream;
    std::unique_ptr<platform_node> node;
};

} // namespace

TEST_F(platform_node_test, serves_a_request_answers_a_lookup_with_its_address_and_registers_in_the_store)
{
    const auto reply = node->send("a1", "k1", "GET", "/read/1");
    EXPECT_EQ(reply.status, 200) << reply.failure;
    EXPECT_EQ(reply.body, "done");
    const auto lookup = callOnce(node->lookups(), "GET", "/resolve?name=counter.example&region=centro&zone=centro-a");
    EXPECT_NE(lookup.body.find(toString(node->callers())), std::string::npos) << lookup.body;
    EXPECT_EQ(store.names("flamingoroute-members"), (std::vector<std::string> { "node-1" }));
    EXPECT_NE(callOnce(node->metrics(), "GET", "/metrics").body.find("decision=\"answered\""), std::string::npos);
}

TEST_F(platform_node_test, puts_a_new_configuration_in_force_and_never_an_older_one)
{
    store.put("config", "main", configurationText(5, "k2"));
    EXPECT_TRUE(waitFor([&] { return node->send("b1", "k2", "GET", "/read/1").status == 200; }));
    EXPECT_EQ(node->send("b2", "k1", "GET", "/read/1").status, 401);
    store.put("config", "main", configurationText(4, "k1"));
    store.put("servers", "u-2", R"({"service":3})");
    EXPECT_TRUE(waitFor([&] { return node->log().find("event=store.unreadable") != std::string::npos; }));
    EXPECT_EQ(node->send("b3", "k1", "GET", "/read/1").status, 401);
    EXPECT_EQ(node->send("b4", "k2", "GET", "/read/1").status, 200);
}

// CONFIG, ROUTE: the last customer's key, and any other, was accepted after its row had been taken away.
TEST_F(platform_node_test, accepts_no_key_while_there_are_no_customers_also_after_a_restart_and_at_the_first_start)
{
    auto withoutRows = configurationText(2, "k1");
    const auto rows = withoutRows.find(R"("rows":[["ronda")");
    withoutRows.replace(rows, withoutRows.rfind("]]}}") + 2 - rows, R"("rows":[])");
    store.put("config", "main", withoutRows);
    EXPECT_TRUE(waitFor([&] { return node->send("w1", "k1", "GET", "/read/1").status == 401; }));
    node->process().signal(SIGTERM);
    ASSERT_TRUE(node->process().waitForExit(seconds { 6 }));
    platform_node restarted("node-1", store.address());
    ASSERT_TRUE(restarted.waitUntilReady());
    EXPECT_EQ(restarted.send("w2", "k1", "GET", "/read/1").status, 401);
    EXPECT_EQ(restarted.send("w3", "no-such-key", "GET", "/read/1").status, 401);
    EXPECT_EQ(upstream.requestCount(), 0);

    platform_store_stand_in emptyStore;
    platform_node first("node-1", emptyStore.address());
    EXPECT_TRUE(waitFor([&] { return first.send("w4", "k1", "GET", "/read/1").status == 503; }));
    emptyStore.put("servers", "u-1", upstreamText(upstream));
    emptyStore.put("config", "main", withoutRows);
    ASSERT_TRUE(first.waitUntilReady());
    EXPECT_EQ(first.send("w5", "k1", "GET", "/read/1").status, 401);
    EXPECT_EQ(upstream.requestCount(), 0);
}

TEST_F(platform_node_test, goes_on_through_an_outage_of_the_store_and_catches_up_after_it)
{
    store.setDown(true);
    store.dropHistory();
    EXPECT_TRUE(waitFor([&] { return node->log().find("event=store.lost") != std::string::npos; }));
    EXPECT_EQ(node->send("c1", "k1", "GET", "/read/1").status, 200);
    store.put("config", "main", configurationText(9, "k9"));
    store.setDown(false);
    EXPECT_TRUE(waitFor([&] { return node->send("c2", "k9", "GET", "/read/1").status == 200; }));
}

// CONFIG, DRAIN: calls made in the last moments of a silent outage never get an answer, and the next ones wait for
// them.
TEST_F(platform_node_test, applies_changes_soon_after_a_silent_outage_in_whose_last_moments_it_called_the_store)
{
    constexpr milliseconds stableAfter { 4000 };
    constexpr milliseconds applyBound { 2500 };
    int version = 1;
    for (const milliseconds outage : { milliseconds(2700), milliseconds(3300) }) {
        store.setSilent(true);
        std::this_thread::sleep_for(outage);
        store.setSilent(false);
        std::this_thread::sleep_for(stableAfter);
        const auto key = "k" + std::to_string(++version);
        const auto name = "u-after-" + key;
        const auto changedAt = monotonicNow();
        store.put("config", "main", configurationText(version, key));
        store.put("servers", name, upstreamText(upstream));
        EXPECT_TRUE(waitFor([&] { return node->send("s-" + key, key, "GET", "/read/1").status == 200; }));
        EXPECT_TRUE(waitFor([&] { return node->log().find("upstream=" + name) != std::string::npos; }));
        EXPECT_LT(monotonicNow() - changedAt, applyBound) << outage.count() << " ms";
    }
}

TEST_F(platform_node_test, sends_an_upstream_no_request_while_its_failure_domain_is_evacuated)
{
    store.put("evacuations", "centro-a", "{}");
    EXPECT_TRUE(waitFor([&] { return node->send("d1", "k1", "GET", "/read/1").status == 503; }));
    const int before = upstream.requestCount();
    EXPECT_EQ(node->send("d2", "k1", "GET", "/read/1").status, 503);
    EXPECT_EQ(upstream.requestCount(), before);
    store.remove("evacuations", "centro-a");
    EXPECT_TRUE(waitFor([&] { return node->send("d3", "k1", "GET", "/read/1").status == 200; }));
}

TEST_F(platform_node_test, sends_nothing_to_an_upstream_that_said_it_is_leaving_while_the_store_is_down)
{
    raw_upstream leaving([](raw_upstream& self, Poco::Net::StreamSocket& connection, int) {
        const auto request = self.readRequest(connection);
        raw_upstream::send(connection,
            "HTTP/1.1 200 OK\r\nX-Flamingoroute-Request-Id: " + headerIn(request, "X-Flamingoroute-Request-Id")
                + "\r\nX-Flamingoroute-Response-Signature: s\r\nServer-Leaving: 1\r\nContent-Length: 4\r\n\r\ndone");
    });
    store.put("servers", "u-2", upstreamText(leaving));
    EXPECT_TRUE(waitFor([&] { return node->log().find("event=upstream.listed upstream=u-2") != std::string::npos; }));
    store.setDown(true);
    for (int i = 0; leaving.requestCount() == 0 && i < 100; ++i)
        node->send("first-" + std::to_string(i), "k1", "GET", "/read/" + std::to_string(i));
    ASSERT_EQ(leaving.requestCount(), 1);
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(node->send("later-" + std::to_string(i), "k1", "GET", "/read/" + std::to_string(i)).status, 200);
    EXPECT_EQ(leaving.requestCount(), 1);
}

TEST_F(platform_node_test, follows_the_list_of_upstreams_while_it_holds_odd_entries_of_another_writer)
{
    int number = 0;
    for (const auto& entry : oddEntries(upstream)) {
        store.put("servers", "odd-" + std::to_string(number), entry);
        const std::string next = "u-good-" + std::to_string(number++);
        store.put("servers", next, upstreamText(upstream));
        ASSERT_TRUE(waitFor([&] { return node->log().find("upstream=" + next) != std::string::npos; }))
            << entry.substr(0, 200);
    }
    EXPECT_EQ(node->send("o1", "k1", "GET", "/read/1").status, 200);
    platform_node another("node-2", store.address());
    EXPECT_TRUE(another.waitUntilReady());
    EXPECT_EQ(another.send("o2", "k1", "GET", "/read/1").status, 200);
    EXPECT_TRUE(node->process().isRunning());
}

TEST_F(platform_node_test, follows_the_list_of_upstreams_while_the_metadata_of_an_entry_are_odd)
{
    constexpr int depth = 1000;
    store.put("servers", "odd", "{}", std::string(depth, '[') + std::string(depth, ']'));
    store.put("servers", "u-good", upstreamText(upstream));
    EXPECT_TRUE(waitFor([&] { return node->log().find("upstream=u-good") != std::string::npos; }));
}

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

TEST_F(platform_node_test, keeps_its_settings_and_logs_the_reason_when_the_settings_file_becomes_unreadable)
{
    std::ofstream(node->settingsFile()) << "[self]\nnode_name = 7\n= nonsense";
    node->process().signal(SIGHUP);
    EXPECT_TRUE(waitFor([&] { return node->log().find("event=node.settings_rejected") != std::string::npos; }));
    EXPECT_EQ(node->send("h1", "k1", "GET", "/read/1").status, 200);
}

TEST_F(platform_node_test, writes_logs_in_which_the_commands_of_the_operations_page_find_the_causes)
{
    EXPECT_EQ(node->send("refused-1", "k1", "GET", "/nothing").status, 404);
    EXPECT_EQ(node->send("late-1", "k1", "POST", "/order/silent", "{}").status, 504);
    store.put("config", "main", configurationText(6, "k6"));
    EXPECT_TRUE(waitFor([&] { return node->send("old-1", "k1", "GET", "/read/1").status == 401; }));
    const auto log = node->logFile();
    EXPECT_TRUE(waitFor([&] { return node->log().find("request=old-1 ") != std::string::npos; }));

    const auto late = outputOf("grep 'request=late-1 ' " + log);
    EXPECT_NE(late.find("decision=timeout"), std::string::npos) << late;
    EXPECT_NE(late.find("upstream=u-1"), std::string::npos) << late;
    const auto atUpstream = outputOf("grep 'upstream=u-1 ' " + log + " | grep -o 'decision=[a-z_]*' | sort | uniq -c");
    EXPECT_NE(atUpstream.find("1 decision=timeout"), std::string::npos) << atUpstream;
    const auto refused = outputOf("grep 'request=refused-1 ' " + log);
    EXPECT_NE(refused.find("decision=unknown_route"), std::string::npos) << refused;
    const auto old = outputOf("grep 'request=old-1 ' " + log);
    EXPECT_NE(old.find("decision=wrong_key"), std::string::npos) << old;
    EXPECT_NE(old.find("version=6"), std::string::npos) << old;
    const auto adopted = outputOf("grep 'event=configuration.adopted' " + log + " | grep 'instance=node-1 '");
    EXPECT_NE(adopted.find("version=6"), std::string::npos) << adopted;
}

} // namespace flamingoroute::testing
