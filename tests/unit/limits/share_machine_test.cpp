#include "flamingoroute/limits/share_machine.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

const customer_id customer("ronda");
const instance_id lenderName("i1");
const instance_id borrowerName("i3");
constexpr std::uint64_t lenderIncarnation = 7;
constexpr std::uint64_t borrowerIncarnation = 9;
constexpr monotonic_time start { std::chrono::hours { 1 } };

template <typename Body> std::vector<Body> bodiesOf(const std::vector<limit_message>& messages)
{
    std::vector<Body> bodies;
    for (const auto& message : messages) {
        if (const auto* body = std::get_if<Body>(&message.body))
            bodies.push_back(*body);
    }
    return bodies;
}

/// A share machine with a full floor of four tokens at 10/s; the pool is at the borrower.
share_machine fullFloor()
{
    share_machine machine(customer, lenderName, lenderIncarnation, limit_settings {}, start);
    machine.tick(start);
    const auto reports = bodiesOf<usage_report>(machine.takeMessages());
    share_assignment assignment;
    assignment.customer = customer.value();
    assignment.tableVersion = 3;
    assignment.epoch = 1;
    assignment.poolInstance = borrowerName.value();
    assignment.floorIncarnation = lenderIncarnation;
    assignment.floor = { 10, 4 };
    assignment.reportSequence = reports.at(0).sequence;
    assignment.isFromAllocator = true;
    machine.onAssignment(start, assignment);
    machine.tick(start + seconds { 1 });
    machine.takeMessages();
    return machine;
}

share_request loanRequest(std::uint64_t sequence, int waiting)
{
    share_request request;
    request.customer = customer.value();
    request.senderIncarnation = borrowerIncarnation;
    request.sequence = sequence;
    request.waiting = waiting;
    return request;
}

} // namespace

TEST(share_machine, borrows_a_token_of_another_instances_floor_while_nobody_keeps_the_pool)
{
    const auto now = start + seconds { 2 };
    share_machine borrower(customer, borrowerName, borrowerIncarnation, limit_settings {}, start);
    ASSERT_EQ(borrower.requestToken(now, 1, now + seconds { 2 }), admission::waiting);
    const auto requests = bodiesOf<share_request>(borrower.takeMessages());
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_EQ(requests[0].epoch, 0u);
    auto lender = fullFloor();
    lender.onRequest(now, borrowerName, requests[0]);
    const auto lent = bodiesOf<share_grant>(lender.takeMessages());
    ASSERT_EQ(lent.size(), 1u);
    borrower.onGrant(now + milliseconds { 20 }, lent[0]);
    const auto decisions = borrower.takeDecisions();
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_TRUE(decisions[0].isAdmitted);
}

TEST(share_machine, never_spends_a_loan_twice_or_after_its_lifetime)
{
    const auto now = start + seconds { 2 };
    share_machine borrower(customer, borrowerName, borrowerIncarnation, limit_settings {}, start);
    borrower.requestToken(now, 1, now + seconds { 2 });
    const auto requests = bodiesOf<share_request>(borrower.takeMessages());
    const share_grant loan { customer.value(), 0, borrowerIncarnation, requests.at(0).sequence, requests.at(0).sequence,
        1 };
    borrower.onGrant(now + milliseconds { 10 }, loan);
    borrower.onGrant(now + milliseconds { 20 }, loan);
    EXPECT_EQ(borrower.takeDecisions().size(), 1u);
    EXPECT_NE(borrower.requestToken(now + milliseconds { 30 }, 2, now + seconds { 2 }), admission::admitted);
    const auto again = bodiesOf<share_request>(borrower.takeMessages());
    const share_grant late { customer.value(), 0, borrowerIncarnation, again.at(0).sequence, again.at(0).sequence, 1 };
    borrower.onGrant(now + limit_settings {}.grantLifetime + seconds { 1 }, late);
    EXPECT_TRUE(borrower.takeDecisions().empty());
}

TEST(share_machine, counts_what_it_lent_against_the_depth_of_its_floor_until_the_loan_has_surely_ended)
{
    auto lender = fullFloor();
    auto now = start + seconds { 2 };
    lender.onRequest(now, borrowerName, loanRequest(1, 2));
    ASSERT_EQ(bodiesOf<share_grant>(lender.takeMessages()).at(0).tokens, 2);
    now += milliseconds { 400 };
    int admitted = 0;
    while (lender.requestToken(now, 1, now) == admission::admitted)
        ++admitted;
    EXPECT_EQ(admitted, 2) << "two of the floor's four tokens may still be spent elsewhere";
}

TEST(share_machine, applies_a_lowered_floor_only_after_its_loans_have_expired)
{
    auto lender = fullFloor();
    const auto now = start + seconds { 2 };
    lender.onRequest(now, borrowerName, loanRequest(1, 2));
    share_assignment lower;
    lower.customer = customer.value();
    lower.tableVersion = 4;
    lower.epoch = 1;
    lower.poolInstance = borrowerName.value();
    lower.floorIncarnation = lenderIncarnation;
    lower.floor = { 10, 1 };
    lower.isFromAllocator = true;
    lender.onAssignment(now, lower);
    EXPECT_EQ(lender.shareInUse(now).depth, 4);
    lender.onAssignment(now + seconds { 1 }, lower);
    EXPECT_EQ(lender.shareInUse(now + seconds { 1 }).depth, 1);
}

TEST(share_machine, lends_nothing_while_its_own_requests_wait)
{
    auto lender = fullFloor();
    const auto now = start + seconds { 2 };
    while (lender.requestToken(now, 1, now + seconds { 2 }) == admission::admitted)
        ;
    lender.takeMessages();
    lender.onRequest(now + milliseconds { 90 }, borrowerName, loanRequest(1, 1));
    EXPECT_TRUE(bodiesOf<share_grant>(lender.takeMessages()).empty());
}

} // namespace flamingoroute::testing
