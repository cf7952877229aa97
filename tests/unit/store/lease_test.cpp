#include "flamingoroute/store/fenced_store.hpp"
#include "flamingoroute/store/lease_client.hpp"

#include "support/store/fake_object_store.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

using testing::fake_object_store;

class lease_test : public ::testing::Test {
protected:
    lease_settings settingsOf(const std::string& holder, incarnation number = 1) const
    {
        lease_settings settings;
        settings.name = "allocator";
        settings.holder = holder;
        settings.holderIncarnation = number;
        return settings;
    }

    monotonic_clock clock()
    {
        return [this] { return m_now; };
    }

    fake_object_store m_store;
    monotonic_time m_now { seconds { 1000 } };
    lease_client m_a { m_store, settingsOf("a"), clock() };
    lease_client m_b { m_store, settingsOf("b"), clock() };
    const lease_settings m_defaults {};
};

} // namespace

TEST_F(lease_test, is_held_by_one_of_two_contenders)
{
    m_a.step();
    m_b.step();
    EXPECT_TRUE(m_a.isHeld());
    EXPECT_FALSE(m_b.isHeld());
    EXPECT_EQ(m_b.lastSeenHolder(), "a");
}

TEST_F(lease_test, keeps_its_epoch_across_renewals_and_increases_it_with_each_holder)
{
    m_a.step();
    const auto first = m_a.epoch();
    m_now += m_defaults.renewInterval;
    m_a.step();
    EXPECT_EQ(m_a.epoch(), first);
    m_a.release();
    m_b.step();
    ASSERT_TRUE(m_b.isHeld()) << "a released lease can be acquired immediately";
    EXPECT_GT(m_b.epoch(), first);
}

TEST_F(lease_test, is_never_held_by_two_at_once_when_the_holder_stops_renewing)
{
    m_a.step();
    for (int i = 0; i < 300; ++i) {
        m_now += milliseconds { 50 };
        m_b.step();
        ASSERT_FALSE(m_a.isHeld() && m_b.isHeld()) << "after " << i * 50 << " ms";
    }
    EXPECT_TRUE(m_b.isHeld());
}

TEST_F(lease_test, starts_the_term_before_the_call_that_acquires_it)
{
    lease_machine machine(settingsOf("a"));
    machine.onRead(tl::unexpected(error { error_code::not_found, "", "", "" }), m_now);
    const auto answeredAt = m_now + m_defaults.duration;
    machine.onWritten(machine.next(m_now), m_now, object_version { 5 }, answeredAt);
    EXPECT_TRUE(machine.isHeld(m_now));
    EXPECT_FALSE(machine.isHeld(answeredAt)) << "the answer arrived a whole term after the request";
}

TEST_F(lease_test, knows_its_own_write_after_a_lost_answer)
{
    m_store.lostAnswers = 1;
    m_a.step();
    EXPECT_TRUE(m_a.isHeld());
    m_now += m_defaults.renewInterval;
    m_store.lostRequests = 1;
    m_a.step();
    EXPECT_TRUE(m_a.isHeld());
}

TEST_F(lease_test, is_lost_when_the_platform_is_down_for_a_term_and_not_before)
{
    m_a.step();
    m_store.isDown = true;
    m_now += m_defaults.duration - m_defaults.drift - milliseconds { 1 };
    m_a.step();
    EXPECT_TRUE(m_a.isHeld());
    m_now += milliseconds { 1 };
    EXPECT_FALSE(m_a.isHeld());
    EXPECT_EQ(m_a.epoch(), 0u);
}

TEST_F(lease_test, passes_at_once_to_a_newer_incarnation_of_its_holder)
{
    m_a.step();
    lease_client restarted(m_store, settingsOf("a", 2), clock());
    restarted.step();
    EXPECT_TRUE(restarted.isHeld());
}

TEST_F(lease_test, fences_the_writes_of_a_holder_that_was_paused)
{
    fenced_store fenced(m_store);
    m_a.step();
    const auto epochOfA = m_a.epoch();
    const auto readByA = fenced.write("move", "m", {}, "step 1", epochOfA).value();
    m_now += m_defaults.duration + m_defaults.drift;
    m_b.step();
    m_now += m_defaults.duration + m_defaults.drift;
    m_b.step();
    ASSERT_TRUE(m_b.isHeld());
    ASSERT_TRUE(fenced.write("move", "m", fenced.read("move", "m").value(), "step 2", m_b.epoch()));
    const auto late = fenced.write("move", "m", readByA, "step 9", epochOfA);
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().code, error_code::conflict);
    const auto readAgain = fenced.read("move", "m").value();
    EXPECT_FALSE(fenced.write("move", "m", readAgain, "step 9", epochOfA)) << "rejected even after reading again";
    EXPECT_EQ(readAgain.body, "step 2");
}

TEST_F(lease_test, resolves_a_fenced_write_whose_answer_was_lost)
{
    fenced_store fenced(m_store);
    m_store.lostAnswers = 1;
    const auto written = fenced.write("move", "m", {}, "step 1", 5);
    ASSERT_TRUE(written);
    EXPECT_TRUE(fenced.write("move", "m", *written, "step 2", 5));
}

// The store ignores a write that changes nothing, so the repeat of a write that takes effect late renewed no
// contender's wait, and two processes held the lease.
TEST(lease_machine, never_repeats_a_write_of_unknown_outcome_word_for_word)
{
    lease_settings settings;
    settings.holder = "a";
    lease_machine machine(settings);
    const monotonic_time now { seconds(1000) };
    const error unknown { error_code::outcome_unknown, "test", "", "" };
    const error absent { error_code::not_found, "test", "", "" };
    machine.onRead(tl::unexpected(absent), now);
    const auto first = machine.next(now);
    machine.onWritten(first, now, tl::unexpected(unknown), now);
    machine.onRead(tl::unexpected(absent), now);
    const auto second = machine.next(now);
    ASSERT_EQ(second.kind, lease_call_kind::create);
    EXPECT_NE(first.value, second.value);
}

} // namespace flamingoroute
