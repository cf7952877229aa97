#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace flamingoroute::testing {

namespace {

/// Callers that send one request after another until stopped.
class steady_load {
public:
    steady_load(fleet& system, const std::vector<std::string>& instances, int callersEach)
    {
        for (const auto& instance : instances) {
            for (int caller = 0; caller < callersEach; ++caller)
                m_threads.emplace_back([this, &system, instance] { run(system, instance); });
        }
    }

    ~steady_load() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    int answered() const { return m_answered; }
    int sent() const { return m_sent; }

private:
    void run(const fleet& system, const std::string& instance)
    {
        http_caller caller(system.callerAddress(instance));
        while (!m_isStopping) {
            ++m_sent;
            const auto reply = caller.call("GET", "/shop/items/1", { { "X-Api-Key", fleet::keyOf("ronda") } });
            m_answered += reply.status == 200 ? 1 : 0;
        }
    }

    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_sent { 0 };
    std::atomic<int> m_answered { 0 };
    std::vector<std::thread> m_threads;
};

fleet_options fewSlots()
{
    fleet_options options;
    options.domains = { { "d1", "r1", 2, 1 }, { "d2", "r2", 2, 2 } };
    options.slots = 3;
    options.serviceMs = 30;
    return options;
}

} // namespace

TEST(steering, spills_a_regions_load_to_another_and_never_exceeds_any_upstreams_slots)
{
    fleet system(fewSlots());
    ASSERT_EQ(system.publishAndWait(), "");
    steady_load load(system, system.instances(), 4);
    std::this_thread::sleep_for(seconds { 3 });
    system.upstream("u1").signal(SIGKILL); // the only upstream of region r1
    std::this_thread::sleep_for(seconds { 2 });
    const int before = load.answered();
    std::this_thread::sleep_for(seconds { 4 });
    const int after = load.answered();
    load.stop();
    EXPECT_GT(after - before, 100) << "the other region has capacity for 200 requests per second";
    for (const auto* name : { "u2", "u3" }) {
        const auto counts = system.countsOf(name);
        EXPECT_TRUE(counts.isReached);
        EXPECT_GT(counts.runs, 0);
        EXPECT_LE(counts.maxRunning, 3) << name;
        EXPECT_EQ(counts.shed, 0) << name;
    }
}

TEST(steering, gives_a_leaving_upstream_no_new_work_after_two_seconds)
{
    auto options = fewSlots();
    options.domains = { { "d1", "r1", 2, 2 } };
    fleet system(options);
    ASSERT_EQ(system.publishAndWait(), "");
    steady_load load(system, system.instances(), 3);
    std::this_thread::sleep_for(seconds { 2 });
    system.setUpstreamFaults("u1", R"({"leaving": true, "health_says": "ok"})");
    std::this_thread::sleep_for(seconds { 2 });
    const auto before = system.countsOf("u1");
    const int answered = load.answered();
    std::this_thread::sleep_for(seconds { 3 });
    const auto after = system.countsOf("u1");
    EXPECT_EQ(after.runs, before.runs);
    EXPECT_EQ(after.shed, before.shed) << "no request was sent to it";
    EXPECT_GT(before.runs, 0);
    EXPECT_GT(load.answered(), answered);
    load.stop();
    EXPECT_EQ(load.answered(), load.sent());
}

} // namespace flamingoroute::testing
