#include "flamingoroute/peers/domain_confirmation.hpp"
#include "flamingoroute/peers/incarnation_filter.hpp"
#include "flamingoroute/peers/membership.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace flamingoroute {

namespace {

const monotonic_time start { seconds { 100 } };

member memberAt(int number, const std::string& domain)
{
    const auto port = static_cast<std::uint16_t>(1000 + number * 3);
    return member { instance_id("i" + std::to_string(number)), failure_domain_id(domain), region_id("r"),
        { "127.0.0.1", port }, { "127.0.0.1", static_cast<std::uint16_t>(port + 1) },
        { "127.0.0.1", static_cast<std::uint16_t>(port + 2) } };
}

membership makeMembership(const member& self, incarnation own = 1)
{
    return membership(self, process_role::entry, own, {}, [](std::size_t) { return std::size_t { 0 }; });
}

heartbeat beat(revision number)
{
    heartbeat body;
    body.number = number;
    body.intervalMs = 500;
    return body;
}

member_status statusOf(const membership& group, const member& wanted, monotonic_time now)
{
    for (const auto& entry : group.members(now)) {
        if (entry.where.instance == wanted.instance)
            return entry;
    }
    ADD_FAILURE() << "not known: " << wanted.instance.value();
    return {};
}

} // namespace

class membership_test : public ::testing::Test {
protected:
    membership_test() { m_group.addSeeds({ m_peer }); }

    void hear(const heartbeat& body, monotonic_time now, incarnation number = 7)
    {
        m_group.onHeartbeat(m_peer.instance, process_role::entry, number, body, now);
    }

    member m_self = memberAt(1, "d1");
    member m_peer = memberAt(2, "d2");
    membership m_group = makeMembership(m_self);
};

TEST_F(membership_test, suspects_a_peer_after_missed_heartbeats_and_trusts_it_again)
{
    hear(beat(1), start);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 1 }).state, member_state::live);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 3 }).state, member_state::suspect);
    hear(beat(1), start + seconds { 4 });
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 4 }).state, member_state::live);
}

TEST_F(membership_test, does_not_take_a_silent_peer_for_gone_while_the_platform_lists_it)
{
    hear(beat(1), start);
    m_group.onPlatformList({ { m_peer.instance, false } }, start);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 300 }).state, member_state::suspect);
    m_group.onPlatformList({}, start + seconds { 300 });
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 301 }).state, member_state::suspect);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 361 }).state, member_state::gone);
}

TEST_F(membership_test, does_not_take_a_heard_peer_for_gone_when_the_platform_forgets_it)
{
    m_group.onPlatformList({}, start);
    hear(beat(1), start + seconds { 500 });
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 500 }).state, member_state::live);
}

TEST_F(membership_test, takes_a_leaving_peer_for_gone_once_it_is_silent)
{
    auto body = beat(1);
    body.isLeaving = true;
    hear(body, start);
    EXPECT_EQ(statusOf(m_group, m_peer, start).state, member_state::leaving);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 5 }).state, member_state::gone);
}

TEST_F(membership_test, ignores_an_older_incarnation)
{
    hear(beat(5), start, 7);
    auto late = beat(3);
    late.isLeaving = true;
    hear(late, start, 6);
    EXPECT_EQ(statusOf(m_group, m_peer, start).state, member_state::live);
    EXPECT_EQ(statusOf(m_group, m_peer, start).entryRevision, 5u);
}

TEST_F(membership_test, asks_a_stranger_who_it_is_and_learns_the_others_from_it)
{
    const auto stranger = memberAt(3, "d1");
    const auto asked = m_group.onHeartbeat(stranger.instance, process_role::entry, 1, beat(1), start);
    ASSERT_EQ(asked.size(), 1u);
    EXPECT_TRUE(asked[0].body.isRecordsWanted);
    auto other = makeMembership(stranger);
    other.addSeeds({ memberAt(4, "d2") });
    for (const auto& answer : other.onHeartbeat(m_self.instance, process_role::entry, 1, asked[0].body, start))
        m_group.onHeartbeat(stranger.instance, process_role::entry, 1, answer.body, start);
    EXPECT_EQ(statusOf(m_group, stranger, start).state, member_state::live);
    statusOf(m_group, memberAt(4, "d2"), start);
}

TEST_F(membership_test, names_the_domains_that_have_not_confirmed_a_revision)
{
    m_group.setLocalState(9, false, std::nullopt);
    hear(beat(8), start);
    const auto lines = confirmationsOf(m_group.members(start), 9);
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_TRUE(lines[0].isInForce());
    EXPECT_EQ(lines[1].missing, std::vector<instance_id> { m_peer.instance });
    hear(beat(9), start);
    EXPECT_TRUE(confirmationsOf(m_group.members(start), 9)[1].isInForce());
}

TEST_F(membership_test, passes_on_when_the_platform_was_last_seen_with_a_revision)
{
    auto body = beat(4);
    body.platformAgeMs = 700;
    hear(body, start);
    EXPECT_EQ(m_group.platformSeenAt(4), start - milliseconds { 700 });
    EXPECT_FALSE(m_group.platformSeenAt(3)) << "a newer revision was seen, so 3 is stale";
}

TEST(incarnation_filter, drops_messages_of_a_process_that_was_replaced)
{
    incarnation_filter filter;
    envelope message;
    message.from = instance_id("a");
    message.fromIncarnation = 5;
    EXPECT_TRUE(filter.accept(message));
    message.fromIncarnation = 4;
    EXPECT_FALSE(filter.accept(message));
    message.role = process_role::control;
    EXPECT_TRUE(filter.accept(message)) << "the other process has incarnations of its own";
}

} // namespace flamingoroute
