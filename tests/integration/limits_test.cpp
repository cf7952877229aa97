#include "flamingoroute/model/monotonic_time.hpp"
#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace flamingoroute::testing {

namespace {

constexpr double ratePerSecond = 40;
constexpr int burst = 20;
constexpr milliseconds callerTimeout { 3000 };

fleet_options limitedFleet()
{
    fleet_options options;
    options.customers = { { "ronda", ratePerSecond, burst }, { "xela" } };
    return options;
}

/// Callers of one customer that send requests to one instance at a constant rate until destroyed.
class steady_callers {
public:
    steady_callers(const fleet& system, const std::string& instance, double callsPerSecond, int threads)
    {
        const auto pause = microseconds(static_cast<std::int64_t>(1e6 * threads / callsPerSecond));
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this, &system, instance, pause] { run(system, instance, pause); });
    }

    ~steady_callers()
    {
        m_isStopping = true;
        for (auto& thread : m_threads)
            thread.join();
    }

    int answered() const { return m_answered; }
    int overRate() const { return m_overRate; }

private:
    void run(const fleet& system, const std::string& instance, microseconds pause)
    {
        while (!m_isStopping) {
            const auto next = monotonicNow() + pause;
            const auto reply = system.send(instance, "GET", "/shop/items/1", "ronda", {}, "", callerTimeout);
            m_answered += reply.status == 200;
            const bool isNotRun = reply.header("Flamingo-Execution") == "not-run";
            m_overRate += reply.status == 429 && isNotRun;
            std::this_thread::sleep_until(next);
        }
    }

    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_overRate { 0 };
    std::vector<std::thread> m_threads;
};

} // namespace

TEST(limits, hold_fleet_wide_at_three_times_the_rate_while_an_entry_dies_and_the_platform_is_down)
{
    fleet system(limitedFleet());
    ASSERT_EQ(system.publishAndWait(), "");
    const auto startedAt = monotonicNow();
    int answered = 0;
    int overRate = 0;
    {
        std::vector<std::unique_ptr<steady_callers>> callers;
        for (const auto& instance : system.instances())
            callers.push_back(std::make_unique<steady_callers>(system, instance, ratePerSecond, 8));
        std::this_thread::sleep_for(seconds { 4 });
        system.entry("i2").signal(SIGKILL);
        system.entry("i2").waitForExit(seconds { 2 });
        system.startEntry("i2");
        std::this_thread::sleep_for(seconds { 4 });
        link_fault down;
        down.isDisconnected = true;
        system.proxy().setFault([](const std::string& name) { return name.ends_with(">platform"); }, down);
        std::this_thread::sleep_for(seconds { 4 });
        system.proxy().heal();
        std::this_thread::sleep_for(seconds { 2 });
        for (auto& each : callers) {
            answered += each->answered();
            overRate += each->overRate();
        }
    }
    const std::chrono::duration<double> elapsed = monotonicNow() - startedAt;
    const int runs = system.totalRuns();
    RecordProperty("runs", runs);
    std::printf("ran %d in %.1f s, bound %.0f, answered %d, over rate %d\n", runs, elapsed.count(),
        ratePerSecond * elapsed.count() + burst, answered, overRate);
    EXPECT_LE(runs, ratePerSecond * elapsed.count() + burst);
    // The callers send three times the rate, so at least half of the permitted rate must have been used.
    EXPECT_GE(runs, ratePerSecond * elapsed.count() / 2);
    EXPECT_GT(overRate, 0);
}

} // namespace flamingoroute::testing
