#include "flamingoroute/steering/allocator_lease.hpp"
#include "support/store/fake_object_store.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

constexpr milliseconds leaseDuration { 4000 };

/// An instance that holds the lease or waits for it.
struct candidate {
    candidate(object_store& store, const std::string& name, incarnation run)
        : lease(store, failure_domain_id("d"), { instance_id(name), run }, leaseDuration, hooks())
    {
    }

    allocator_lease_hooks hooks()
    {
        allocator_lease_hooks result;
        result.begin = [this](const allocator_role& next) { role = next; };
        result.end = [this] { role.reset(); };
        result.confirm = [this](monotonic_time) { ++confirmed; };
        result.recordHolder = [this](const instance_id& name, std::uint64_t) { holder = name; };
        result.hasReserve = [] { return true; };
        return result;
    }

    void stepAt(milliseconds now)
    {
        lease.step([now] { return monotonic_time(now); });
    }

    std::optional<allocator_role> role;
    int confirmed = 0;
    instance_id holder;
    allocator_lease lease;
};

} // namespace

TEST(allocator_lease, is_taken_once_and_taken_over_only_after_its_duration)
{
    testing::fake_object_store store;
    candidate one(store, "a", 1);
    candidate other(store, "b", 1);
    one.stepAt(milliseconds(0));
    other.stepAt(milliseconds(10));
    ASSERT_TRUE(one.role);
    EXPECT_TRUE(one.role->isFirst);
    EXPECT_FALSE(other.role);
    EXPECT_EQ(other.holder, instance_id("a"));
    other.stepAt(milliseconds(3000));
    EXPECT_FALSE(other.role);
    other.stepAt(milliseconds(5000));
    ASSERT_TRUE(other.role);
    EXPECT_GT(other.role->epoch, one.role->epoch);
    EXPECT_FALSE(other.role->isFirst);
    EXPECT_EQ(other.role->predecessors, (std::vector<instance_run> { { instance_id("a"), 1 } }));
    one.stepAt(milliseconds(5100));
    EXPECT_FALSE(one.role) << "its renewal fails, since it names an old version";
    EXPECT_EQ(one.holder, instance_id("b"));
}

TEST(allocator_lease, confirms_a_write_whose_response_was_lost_by_reading_back)
{
    testing::fake_object_store store;
    store.lostAnswers = 1;
    candidate one(store, "a", 1);
    one.stepAt(milliseconds(0));
    ASSERT_TRUE(one.role);
    const auto versionBefore = store.counter;
    store.lostRequests = 1;
    one.stepAt(milliseconds(1000));
    EXPECT_EQ(store.counter, versionBefore) << "that write never took effect";
    EXPECT_EQ(one.confirmed, 1) << "but the lease was read back as still held";
    one.stepAt(milliseconds(2000));
    EXPECT_EQ(one.confirmed, 2);
    EXPECT_GT(store.counter, versionBefore);
}

TEST(allocator_lease, keeps_the_role_while_the_platform_is_unreachable)
{
    testing::fake_object_store store;
    candidate one(store, "a", 1);
    one.stepAt(milliseconds(0));
    store.isDown = true;
    one.stepAt(milliseconds(60'000));
    EXPECT_TRUE(one.role);
    EXPECT_EQ(one.confirmed, 0);
}

TEST(allocator_lease, is_taken_at_once_by_a_newer_incarnation_of_its_holder)
{
    testing::fake_object_store store;
    candidate before(store, "a", 1);
    before.stepAt(milliseconds(0));
    candidate after(store, "a", 2);
    after.stepAt(milliseconds(100));
    ASSERT_TRUE(after.role);
    EXPECT_EQ(after.role->predecessors, (std::vector<instance_run> { { instance_id("a"), 1 } }));
}

} // namespace flamingoroute
