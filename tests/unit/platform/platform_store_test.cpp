#include "platform/platform_store.hpp"

#include "support/platform/platform_store_stand_in.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace flamingoroute::testing {

namespace {

class platform_store_test : public ::testing::Test {
protected:
    /// @return the result of a call, which the event loop runs to its end
    template <typename Result>
    tl::expected<Result, error> resultOf(
        const std::function<void(std::function<void(tl::expected<Result, error>)>)>& call)
    {
        std::optional<tl::expected<Result, error>> result;
        call([&](tl::expected<Result, error> answer) { result = std::move(answer); });
        m_loop.restart();
        m_loop.run();
        return result.value();
    }

    tl::expected<fleet_object, error> read()
    {
        return resultOf<fleet_object>([this](auto done) { m_client.read("rollouts", "counter", false, done); });
    }

    tl::expected<store_revision, error> writeStatus(const store_revision& revision)
    {
        return resultOf<store_revision>(
            [&](auto done) { m_client.putStatus("rollouts", "counter", R"({"state":"running"})", revision, done); });
    }

    platform_store_stand_in m_store;
    boost::asio::io_context m_loop;
    platform::platform_store m_client { m_loop, m_store.address() };
};

} // namespace

// A status was written on the condition of a revision that, after a restoration, belonged to another order.
TEST_F(platform_store_test, does_not_write_on_the_condition_of_a_revision_from_before_the_restoration)
{
    m_store.copy();
    m_store.put("rollouts", "counter", R"({"target_version":"v2"})");
    const auto before = read().value();
    m_store.restore({ { "rollouts", "counter", R"({"target_version":"v3"})" } });
    const auto after = read().value();
    EXPECT_EQ(after.revision.number, before.revision.number);
    EXPECT_GT(after.revision, before.revision);
    EXPECT_NE(after.contentHash, before.contentHash);
    EXPECT_EQ(writeStatus(before.revision).error().code, error_code::conflict);
    EXPECT_EQ(m_store.statusOf("rollouts", "counter"), "");
    EXPECT_TRUE(writeStatus(after.revision));
    EXPECT_EQ(m_store.statusOf("rollouts", "counter"), R"({"state":"running"})");
}

} // namespace flamingoroute::testing
