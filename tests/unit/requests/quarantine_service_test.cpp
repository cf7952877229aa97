#include "flamingoroute/requests/quarantine_service.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>

namespace flamingoroute::testing {

namespace {

/// Instances whose notices are queued until the test delivers them; time does not advance on its own.
class fleet {
public:
    fleet(int count, quarantine_limits limits)
    {
        for (int i = 0; i < count; ++i) {
            quarantine_hooks hooks;
            hooks.now = [this] { return now; };
            hooks.choosePeers = [this, i](std::size_t maxCount) { return peersOf(i, maxCount); };
            hooks.send = [this](const instance_id& to, const quarantine_notice& notice) {
                ++messages;
                pendingNotices.emplace_back(std::stoi(to.value()), notice);
            };
            members.push_back(std::make_unique<quarantine_service>(limits, hooks));
        }
    }

    void deliverAll()
    {
        while (!pendingNotices.empty()) {
            const auto [to, notice] = pendingNotices.front();
            pendingNotices.pop_front();
            members[to]->receive(notice);
        }
    }

    std::vector<std::unique_ptr<quarantine_service>> members;
    std::deque<std::pair<int, quarantine_notice>> pendingNotices;
    monotonic_time now { milliseconds { 0 } };
    int messages = 0;

private:
    std::vector<instance_id> peersOf(int sender, std::size_t maxCount) const
    {
        std::vector<instance_id> peers;
        for (std::size_t step = 1; step < members.size() && peers.size() < maxCount; ++step)
            peers.emplace_back(std::to_string((sender + step) % members.size()));
        return peers;
    }
};

caller_request crasher()
{
    caller_request request;
    request.method = "GET";
    request.target = "/tickets/crash";
    return request;
}

const customer_id mender("mender");
const route tickets { "tickets", "/tickets", {}, true };

} // namespace

TEST(quarantine_service, bounds_the_upstreams_that_one_repeated_request_breaks_over_the_whole_fleet)
{
    fleet nine(9, {});
    int broken = 0;
    for (int sending = 0; sending < 100; ++sending) {
        auto& through = *nine.members[sending % nine.members.size()];
        if (through.check(mender, tickets, crasher()))
            continue;
        through.recordBroken(mender, tickets, crasher(), upstream_id("u" + std::to_string(++broken)));
        nine.deliverAll();
    }
    EXPECT_EQ(broken, 2);
    auto other = crasher();
    other.target = "/tickets/7";
    EXPECT_FALSE(nine.members[3]->check(mender, tickets, other));
    EXPECT_FALSE(nine.members[3]->check(customer_id("other"), tickets, crasher()));
}

TEST(quarantine_service, reports_that_a_quarantined_request_did_not_run_and_when_to_retry)
{
    fleet one(1, {});
    one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("a"));
    EXPECT_FALSE(one.members[0]->check(mender, tickets, crasher()));
    one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("b"));
    const auto why = one.members[0]->check(mender, tickets, crasher());
    ASSERT_TRUE(why);
    EXPECT_EQ(why->reason, refusal_reason::quarantined);
    EXPECT_EQ(why->execution, execution_state::not_run);
    EXPECT_EQ(why->retryAfter, milliseconds { 30'000 });
    one.now += seconds { 31 };
    EXPECT_FALSE(one.members[0]->check(mender, tickets, crasher()));
    one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("c"));
    EXPECT_EQ(one.members[0]->check(mender, tickets, crasher())->retryAfter, milliseconds { 600'000 });
}

TEST(quarantine_service, clears_a_request_that_was_answered_in_between)
{
    fleet one(1, {});
    one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("a"));
    one.members[0]->recordAnswered(mender, tickets, crasher());
    one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("b"));
    EXPECT_FALSE(one.members[0]->check(mender, tickets, crasher()));
}

TEST(quarantine_service, keeps_the_number_of_messages_bounded_while_the_request_is_answered_everywhere)
{
    fleet nine(9, {});
    nine.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("a"));
    for (int step = 0; step < 10'000 && !nine.pendingNotices.empty(); ++step) {
        const auto [to, notice] = nine.pendingNotices.front();
        nine.pendingNotices.pop_front();
        nine.members[to]->receive(notice);
        nine.now += milliseconds { 1 };
        nine.members[to]->recordAnswered(mender, tickets, crasher());
    }
    EXPECT_TRUE(nine.pendingNotices.empty());
    EXPECT_LE(nine.messages, 2 * 9 * 8);
}

TEST(quarantine_service, notifies_other_instances_that_a_request_was_cleared)
{
    fleet nine(9, {});
    nine.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("a"));
    nine.deliverAll();
    nine.now += milliseconds { 1 };
    nine.members[1]->recordAnswered(mender, tickets, crasher());
    nine.deliverAll();
    nine.now += milliseconds { 1 };
    nine.members[2]->recordBroken(mender, tickets, crasher(), upstream_id("b"));
    nine.deliverAll();
    EXPECT_FALSE(nine.members[3]->check(mender, tickets, crasher()));
}

TEST(quarantine_service, quarantines_a_previously_answered_request_after_four_upstreams)
{
    fleet one(1, {});
    one.members[0]->recordAnswered(mender, tickets, crasher());
    for (const auto* name : { "a", "b", "c" })
        one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id(name));
    EXPECT_FALSE(one.members[0]->check(mender, tickets, crasher()));
    one.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("d"));
    EXPECT_TRUE(one.members[0]->check(mender, tickets, crasher()));
}

TEST(quarantine_service, spreads_one_notice_with_a_bounded_number_of_messages)
{
    quarantine_limits limits;
    limits.fanout = 4;
    fleet many(100, limits);
    many.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("a"));
    many.members[0]->recordBroken(mender, tickets, crasher(), upstream_id("b"));
    many.deliverAll();
    EXPECT_LE(many.messages, 2 * 100 * 4);
    EXPECT_TRUE(std::all_of(many.members.begin(), many.members.end(),
        [](const auto& member) { return member->check(mender, tickets, crasher()).has_value(); }));
}

TEST(quarantine_table, evicts_the_oldest_beyond_its_limit)
{
    quarantine_limits limits;
    limits.maxFingerprints = 10;
    quarantine_table table(limits);
    for (int i = 0; i < 1000; ++i)
        table.recordBroken(std::to_string(i), upstream_id("a"), microseconds { 0 }, monotonic_time(milliseconds { i }));
    EXPECT_EQ(table.size(), 10U);
}

} // namespace flamingoroute::testing
