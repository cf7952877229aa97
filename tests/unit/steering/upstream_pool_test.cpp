#include "flamingoroute/steering/upstream_pool.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace flamingoroute {

namespace {

configuration_ptr oneUpstream(int slots)
{
    auto current = std::make_shared<configuration>();
    upstream target;
    target.name = upstream_id("u");
    target.service = service_id("desk");
    target.version = version_id("v1");
    target.failureDomain = failure_domain_id("d");
    target.slots = slots;
    current->upstreams.push_back(target);
    return current;
}

upstream_requirements requirementsWithin(milliseconds timeout)
{
    upstream_requirements requirements;
    requirements.service = service_id("desk");
    requirements.version = version_id("v1");
    requirements.deadline = monotonicNow() + timeout;
    return requirements;
}

steering_identity self() { return { instance_id("i"), 1, failure_domain_id("d"), region_id("r") }; }

attempt_result answered()
{
    attempt_result result;
    result.outcome = attempt_outcome::answered;
    result.duration = milliseconds(1);
    return result;
}

} // namespace

TEST(upstream_pool, never_gives_out_more_slots_than_the_upstream_has_to_many_threads)
{
    upstream_pool pool(self());
    pool.adopt(oneUpstream(3));
    pool.beginAllocating({ 1, true, {} });
    std::atomic<int> running { 0 };
    std::atomic<int> most { 0 };
    std::atomic<int> done { 0 };
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&] {
            for (int round = 0; round < 100; ++round) {
                const auto chosen = pool.acquire(requirementsWithin(seconds(5)));
                if (!chosen)
                    continue;
                const int now = ++running;
                for (int seen = most; now > seen && !most.compare_exchange_weak(seen, now);) { }
                std::this_thread::sleep_for(microseconds(50));
                --running;
                pool.release(*chosen, answered());
                ++done;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    EXPECT_LE(most, 3);
    EXPECT_EQ(done, 800);
}

TEST(upstream_pool, refuses_as_not_run_when_no_slot_becomes_free_in_time)
{
    upstream_pool pool(self());
    pool.adopt(oneUpstream(1));
    pool.beginAllocating({ 1, true, {} });
    const auto first = pool.acquire(requirementsWithin(seconds(1)));
    ASSERT_TRUE(first);
    const auto second = pool.acquire(requirementsWithin(milliseconds(30)));
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().reason, refusal_reason::no_capacity);
    EXPECT_EQ(second.error().execution, execution_state::not_run);
    EXPECT_GT(second.error().retryAfter, milliseconds(0));
    auto requirements = requirementsWithin(seconds(1));
    requirements.tried = { upstream_id("u") };
    const auto third = pool.acquire(requirements);
    ASSERT_FALSE(third);
    EXPECT_EQ(third.error().reason, refusal_reason::no_healthy_upstream);
}

TEST(upstream_pool, keeps_the_slot_of_an_attempt_with_unknown_outcome_until_its_deadline)
{
    upstream_pool pool(self());
    pool.adopt(oneUpstream(1));
    pool.beginAllocating({ 1, true, {} });
    const auto first = pool.acquire(requirementsWithin(milliseconds(100)));
    ASSERT_TRUE(first);
    attempt_result broken;
    broken.outcome = attempt_outcome::unknown;
    pool.release(*first, broken);
    EXPECT_FALSE(pool.acquire(requirementsWithin(milliseconds(20))));
    std::this_thread::sleep_for(milliseconds(100));
    pool.tick();
    EXPECT_TRUE(pool.acquire(requirementsWithin(milliseconds(100))));
}

} // namespace flamingoroute
