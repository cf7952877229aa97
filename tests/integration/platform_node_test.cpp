#include "support/platform/platform_node_fixture.hpp"
#include "support/process/http_caller.hpp"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

namespace flamingoroute::testing {

namespace {

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
    const int acceptedBefore = upstream.requestCount(); // with the earlier configuration
    node->process().signal(SIGTERM);
    ASSERT_TRUE(node->process().waitForExit(seconds { 6 }));
    platform_node restarted("node-1", store.address());
    ASSERT_TRUE(restarted.waitUntilReady());
    EXPECT_EQ(restarted.send("w2", "k1", "GET", "/read/1").status, 401);
    EXPECT_EQ(restarted.send("w3", "no-such-key", "GET", "/read/1").status, 401);
    EXPECT_EQ(upstream.requestCount(), acceptedBefore);

    platform_store_stand_in emptyStore;
    platform_node first("node-1", emptyStore.address());
    EXPECT_TRUE(waitFor([&] { return first.send("w4", "k1", "GET", "/read/1").status == 503; }));
    emptyStore.put("servers", "u-1", upstreamText(upstream));
    emptyStore.put("config", "main", withoutRows);
    ASSERT_TRUE(first.waitUntilReady());
    EXPECT_EQ(first.send("w5", "k1", "GET", "/read/1").status, 401);
    EXPECT_EQ(upstream.requestCount(), acceptedBefore);
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

// CONFIG: the revision of an older configuration, given out again by a restored store, hid a newer configuration.
TEST_F(platform_node_test, adopts_a_configuration_whose_revision_the_store_gave_out_before_it_was_restored)
{
    store.copy();
    store.put("config", "main", configurationText(5, "k5"));
    ASSERT_TRUE(waitFor([&] { return node->send("r1", "k5", "GET", "/read/1").status == 200; }));
    store.setDown(true);
    store.restore();
    store.put("config", "main", configurationText(6, "k6"));
    EXPECT_TRUE(waitFor([&] { return node->log().find("event=store.lost") != std::string::npos; }));
    store.setDown(false);
    EXPECT_TRUE(waitFor([&] { return node->send("r2", "k6", "GET", "/read/1").status == 200; }));
    EXPECT_EQ(node->send("r3", "k5", "GET", "/read/1").status, 401);
}

// CONFIG: a watch went on from a revision that the restored store had reached again, and left out what came before it.
TEST_F(platform_node_test, adopts_a_configuration_that_a_restored_store_got_before_the_revision_of_an_open_watch)
{
    store.copy();
    store.put("config", "main", configurationText(5, "k5"));
    ASSERT_TRUE(waitFor([&] { return node->send("o1", "k5", "GET", "/read/1").status == 200; }));
    store.restore({ { "config", "main", configurationText(6, "k6") }, { "evacuations", "oriente-a", "{}" } });
    EXPECT_TRUE(waitFor([&] { return node->send("o2", "k6", "GET", "/read/1").status == 200; }));
}

TEST_F(platform_node_test, writes_its_registration_again_when_a_restored_store_lacks_it)
{
    platform_store_stand_in fresh;
    fresh.copy();
    platform_node late("node-2", fresh.address());
    EXPECT_TRUE(waitFor([&] { return fresh.names("flamingoroute-members").size() == 1; }));
    fresh.restore();
    EXPECT_TRUE(waitFor([&] { return fresh.names("flamingoroute-members").size() == 1; }));
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
