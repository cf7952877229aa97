#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <iomanip>
#include <sstream>
#include <thread>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds pollInterval { 300 };

std::string utcAfter(seconds fromNow)
{
    const auto when = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() + fromNow);
    std::tm parts {};
    gmtime_r(&when, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

fleet_options twoVersions()
{
    fleet_options options;
    options.extraUpstreamVersion = "shop-v2";
    return options;
}

/// Two callers per instance that send requests until the object is destroyed.
class steady_callers {
public:
    explicit steady_callers(const fleet& system)
    {
        for (const auto& instance : system.instances()) {
            for (int number = 0; number < 2; ++number)
                m_threads.emplace_back([this, &system, instance] { run(system, instance); });
        }
    }

    ~steady_callers()
    {
        m_isStopping = true;
        for (auto& each : m_threads)
            each.join();
    }

    int sent() const { return m_sent; }
    int failed() const { return m_failed; }

private:
    void run(const fleet& system, const std::string& instance)
    {
        http_caller caller(system.callerAddress(instance));
        while (!m_isStopping) {
            const auto reply = caller.call("GET", "/shop/items/1", { { "X-Api-Key", fleet::keyOf("ronda") } });
            ++m_sent;
            m_failed += reply.status == 200 ? 0 : 1;
            std::this_thread::sleep_for(milliseconds { 4 });
        }
    }

    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_sent { 0 };
    std::atomic<int> m_failed { 0 };
    std::vector<std::thread> m_threads;
};

/// Starts the move of the fleet's service from shop-v1 to shop-v2.
http_reply startMove(const fleet& system, seconds timeLeft, int capPercent = 100)
{
    return system.admin("i1", "POST", "commands/move-start",
        R"({"name":"to-v2","service":"shop","from":"shop-v1","to":"shop-v2","cap_percent":)"
            + std::to_string(capPercent) + R"(,"finish_by":")" + utcAfter(timeLeft) + "\"}");
}

std::string moveObject(const fleet& system, const std::string& instance)
{
    return system.admin(instance, "GET", "queries/objects?kind=move").body;
}

bool waitForPhase(const fleet& system, const std::string& phase, seconds timeout, const std::string& instance = "i1")
{
    const auto deadline = monotonicNow() + timeout;
    while (monotonicNow() < deadline) {
        if (moveObject(system, instance).find('"' + phase + '"') != std::string::npos)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

int runsOfNewVersion(const fleet& system)
{
    int runs = 0;
    for (const auto& name : system.upstreams())
        runs += name[0] == 'x' ? system.countsOf(name).runs : 0;
    return runs;
}

} // namespace

TEST(moves, completes_the_move_to_a_good_version_before_the_deadline)
{
    fleet system(twoVersions());
    ASSERT_EQ(system.publishAndWait(), "");
    const steady_callers callers(system);
    const auto started = startMove(system, seconds { 80 });
    ASSERT_EQ(started.status, 200) << started.body;
    ASSERT_TRUE(waitForPhase(system, "done", seconds { 80 })) << moveObject(system, "i1");
    std::this_thread::sleep_for(seconds { 2 });
    const int before = runsOfNewVersion(system);
    const int sent = callers.sent();
    std::this_thread::sleep_for(seconds { 2 });
    EXPECT_GE(runsOfNewVersion(system) - before, (callers.sent() - sent) * 9 / 10);
    EXPECT_EQ(callers.failed(), 0);
}

TEST(moves, takes_a_failing_version_back_after_a_fiftieth_of_the_requests_at_most)
{
    fleet system(twoVersions());
    ASSERT_EQ(system.publishAndWait(), "");
    for (const auto& name : system.upstreams()) {
        if (name[0] == 'x')
            system.setUpstreamFaults(name, R"({"fail_percent":100})");
    }
    const steady_callers callers(system);
    const auto started = startMove(system, seconds { 80 });
    ASSERT_EQ(started.status, 200) << started.body;
    ASSERT_TRUE(waitForPhase(system, "undone", seconds { 60 })) << moveObject(system, "i1");
    std::this_thread::sleep_for(seconds { 2 });
    const int runs = runsOfNewVersion(system);
    EXPECT_LE(runs * 50, callers.sent());
    std::this_thread::sleep_for(seconds { 2 });
    EXPECT_EQ(runsOfNewVersion(system), runs);
}

TEST(moves, go_on_while_a_leaseholder_is_paused_and_its_late_act_changes_nothing)
{
    fleet system(twoVersions());
    ASSERT_EQ(system.publishAndWait(), "");
    const steady_callers callers(system);
    ASSERT_EQ(startMove(system, seconds { 90 }, 20).status, 200);
    ASSERT_TRUE(waitForPhase(system, "stepping", seconds { 40 })) << moveObject(system, "i1");
    const auto instances = system.instances();
    for (const auto& paused : instances) {
        system.control(paused).signal(SIGSTOP);
        std::this_thread::sleep_for(seconds { 13 });
        system.control(paused).signal(SIGCONT);
    }
    EXPECT_TRUE(waitForPhase(system, "done", seconds { 50 })) << moveObject(system, "i1");
    EXPECT_LE(runsOfNewVersion(system) * 5, callers.sent());
}

} // namespace flamingoroute::testing
