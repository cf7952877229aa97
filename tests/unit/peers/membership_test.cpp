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

membership makeMembership(const member& self, incarnation localIncarnation = 1)
{
    return membership(self, process_role::entry, localIncarnation, {}, [](std::size_t) { return std::size_t { 0 }; });
}

heartbeat heartbeatOf(revision number)
{
    heartbeat body;
    body.configRevision = number;
    body.intervalMs = 500;
    return body;
}

member_status statusOf(const membership& group, const member& wanted, monotonic_time now)
{
    for (const auto& entry : group.members(now)) {
        if (entry.memberInfo.instance == wanted.instance)
            return entry;
    }
    ADD_FAILURE() << "not a member: " << wanted.instance.value();
    return {};
}

} // namespace

class membership_test : public ::testing::Test {
protected:
    membership_test() { m_group.addSeeds({ m_peer }); }

    void receiveHeartbeat(const heartbeat& body, monotonic_time now, incarnation number = 7)
    {
        m_group.onHeartbeat(m_peer.instance, process_role::entry, number, body, now);
    }

    member m_self = memberAt(1, "d1");
    member m_peer = memberAt(2, "d2");
    membership m_group = makeMembership(m_self);
};

TEST_F(membership_test, suspects_a_peer_after_missed_heartbeats_until_the_next_heartbeat)
{
    receiveHeartbeat(heartbeatOf(1), start);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 1 }).state, member_state::live);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 3 }).state, member_state::suspect);
    receiveHeartbeat(heartbeatOf(1), start + seconds { 4 });
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 4 }).state, member_state::live);
}

TEST_F(membership_test, does_not_mark_an_unresponsive_peer_gone_while_the_platform_lists_it)
{
    receiveHeartbeat(heartbeatOf(1), start);
    m_group.onPlatformList({ { m_peer.instance, false } }, start);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 300 }).state, member_state::suspect);
    m_group.onPlatformList({}, start + seconds { 300 });
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 301 }).state, member_state::suspect);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 361 }).state, member_state::gone);
}

TEST_F(membership_test, does_not_mark_a_live_peer_gone_when_the_platform_no_longer_lists_it)
{
    m_group.onPlatformList({}, start);
    receiveHeartbeat(heartbeatOf(1), start + seconds { 500 });
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 500 }).state, member_state::live);
}

TEST_F(membership_test, marks_a_leaving_peer_gone_once_it_is_unresponsive)
{
    auto body = heartbeatOf(1);
    body.isLeaving = true;
    receiveHeartbeat(body, start);
    EXPECT_EQ(statusOf(m_group, m_peer, start).state, member_state::leaving);
    EXPECT_EQ(statusOf(m_group, m_peer, start + seconds { 5 }).state, member_state::gone);
}

TEST_F(membership_test, ignores_an_older_incarnation)
{
    receiveHeartbeat(heartbeatOf(5), start, 7);
    auto late = heartbeatOf(3);
    late.isLeaving = true;
    receiveHeartbeat(late, start, 6);
    EXPECT_EQ(statusOf(m_group, m_peer, start).state, member_state::live);
    EXPECT_EQ(statusOf(m_group, m_peer, start).entryRevision, 5u);
}

TEST_F(membership_test, requests_records_from_an_unknown_sender_and_adds_its_members)
{
    const auto newcomer = memberAt(3, "d1");
    const auto requests = m_group.onHeartbeat(newcomer.instance, process_role::entry, 1, heartbeatOf(1), start);
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_TRUE(requests[0].body.isRecordsRequested);
    auto other = makeMembership(newcomer);
    other.addSeeds({ memberAt(4, "d2") });
    for (const auto& answer : other.onHeartbeat(m_self.instance, process_role::entry, 1, requests[0].body, start))
        m_group.onHeartbeat(newcomer.instance, process_role::entry, 1, answer.body, start);
    EXPECT_EQ(statusOf(m_group, newcomer, start).state, member_state::live);
    statusOf(m_group, memberAt(4, "d2"), start);
}

TEST_F(membership_test, lists_the_instances_that_have_not_confirmed_a_revision)
{
    m_group.setLocalState(9, false, std::nullopt);
    receiveHeartbeat(heartbeatOf(8), start);
    const auto confirmations = confirmationsOf(m_group.members(start), 9);
    ASSERT_EQ(confirmations.size(), 2u);
    EXPECT_TRUE(confirmations[0].isInForce());
    EXPECT_EQ(confirmations[1].missing, std::vector<instance_id> { m_peer.instance });
    receiveHeartbeat(heartbeatOf(9), start);
    EXPECT_TRUE(confirmationsOf(m_group.members(start), 9)[1].isInForce());
}

TEST_F(membership_test, records_when_the_platform_was_last_seen_with_a_revision)
{
    auto body = heartbeatOf(4);
    body.platformAgeMs = 700;
    receiveHeartbeat(body, start);
    EXPECT_EQ(m_group.lastPlatformAnswerAt(4), start - milliseconds { 700 });
    EXPECT_FALSE(m_group.lastPlatformAnswerAt(3)) << "a newer revision was seen, so 3 is stale";
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
    EXPECT_TRUE(filter.accept(message)) << "the incarnations of the two processes of an instance are independent";
}

} // namespace flamingoroute
