#include "flamingoroute/duties/duty_lease.hpp"

#include "fake_object.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

constexpr milliseconds term { 3300 };
constexpr milliseconds pollInterval { 100 };

/// Two candidates for one duty on a virtual clock.
class duty_lease_test : public ::testing::Test {
protected:
    static lease_settings settingsOf(const std::string& holder)
    {
        lease_settings settings;
        settings.name = "duty";
        settings.holder = holder;
        settings.holderIncarnation = 1;
        settings.duration = term;
        settings.renewInterval = milliseconds(1500);
        settings.retryInterval = milliseconds(1100);
        return settings;
    }

    void run(milliseconds time, bool isFirstRunning, bool isSecondRunning)
    {
        for (milliseconds passed { 0 }; passed < time; passed += pollInterval) {
            m_now += pollInterval;
            if (isFirstRunning)
                m_first.poll(true);
            if (isSecondRunning)
                m_second.poll(true);
            ASSERT_FALSE(m_first.token() != 0 && m_second.token() != 0) << "two holders";
        }
    }

    fake_object m_object;
    monotonic_time m_now { seconds(1000) };
    duty_lease m_first { settingsOf("first"), m_object.access(), [this] { return m_now; } };
    duty_lease m_second { settingsOf("second"), m_object.access(), [this] { return m_now; } };
};

} // namespace

TEST_F(duty_lease_test, has_one_holder_among_two_candidates)
{
    run(seconds(30), true, true);
    EXPECT_NE(m_first.token(), 0U);
    EXPECT_EQ(m_second.lastSeenHolder(), "first");
}

TEST_F(duty_lease_test, passes_with_a_higher_token_when_its_holder_ends)
{
    run(seconds(2), true, true);
    const auto earlier = m_first.token();
    run(seconds(7), false, true);
    EXPECT_GT(m_second.token(), earlier);
}

TEST_F(duty_lease_test, leaves_a_holder_that_thaws_without_time_and_keeps_it_from_alternating)
{
    run(seconds(2), true, true);
    const auto earlier = m_first.token();
    run(seconds(7), false, true);
    ASSERT_NE(m_second.token(), 0U);
    EXPECT_LE(m_first.timeLeft(earlier), microseconds(0));
    // The second ends at once; the first may act again only a whole term later.
    run(term - pollInterval, true, false);
    EXPECT_EQ(m_first.token(), 0U);
    run(seconds(4), true, false);
    EXPECT_GT(m_first.token(), earlier);
}

TEST_F(duty_lease_test, is_held_after_the_answer_to_its_write_was_lost)
{
    m_object.isLosingAnswers = true;
    run(seconds(1), true, true);
    EXPECT_NE(m_first.token(), 0U);
    EXPECT_EQ(m_second.token(), 0U);
}

// Another instance took a lease at once that a restored store had lost, while its holder went on for the rest of a
// term.
TEST_F(duty_lease_test, has_one_holder_after_a_restored_store_has_lost_the_lease)
{
    for (int i = 0; i < 20; ++i) {
        run(milliseconds(4000 + 300 * i), true, true);
        m_object.version = 0;
    }
    run(seconds(7), true, true);
    EXPECT_TRUE(m_first.token() != 0 || m_second.token() != 0);
}

TEST_F(duty_lease_test, is_taken_over_a_term_after_a_malformed_object_was_read)
{
    m_object.value = R"({"holder":7})";
    m_object.version = 50;
    run(term, true, false);
    EXPECT_EQ(m_first.token(), 0U);
    run(seconds(3), true, false);
    EXPECT_NE(m_first.token(), 0U);
}

} // namespace flamingoroute
