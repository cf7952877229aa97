#include "flamingoroute/steering/request_queue.hpp"

#include <gtest/gtest.h>

#include <map>

namespace flamingoroute {

namespace {

waiting_request requestOf(std::uint64_t ticket, const std::string& customer, request_class kind, int deadlineMs = 1000)
{
    waiting_request request;
    request.ticket = ticket;
    request.requirements.customer = customer_id(customer);
    request.requirements.requestClass = kind;
    request.requirements.deadline = monotonic_time(milliseconds(deadlineMs));
    return request;
}

bool any(const waiting_request&) { return true; }

} // namespace

TEST(request_queue, serves_customers_in_proportion_to_their_weights)
{
    request_queue queue({});
    for (std::uint64_t i = 0; i < 40; ++i) {
        queue.push(requestOf(i, "large", request_class::interactive), 3);
        queue.push(requestOf(100 + i, "small", request_class::interactive), 1);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i)
        ++served[queue.popFirst(any)->requirements.customer.value()];
    EXPECT_EQ(served["large"], 30);
    EXPECT_EQ(served["small"], 10);
}

TEST(request_queue, serves_interactive_requests_first_and_bulk_ones_at_a_set_share)
{
    steering_settings settings;
    settings.interactivePerBulk = 8;
    request_queue queue(settings);
    for (std::uint64_t i = 0; i < 45; ++i) {
        queue.push(requestOf(i, "a", request_class::bulk), 1);
        queue.push(requestOf(100 + i, "a", request_class::interactive), 1);
    }
    int bulk = 0;
    for (int i = 0; i < 45; ++i) {
        bulk += queue.popFirst(any)->requirements.requestClass == request_class::bulk ? 1 : 0;
        EXPECT_FALSE(queue.popFirst([](const auto&) { return false; }));
    }
    EXPECT_EQ(bulk, 5);
}

TEST(request_queue, is_bounded_for_each_customer)
{
    steering_settings settings;
    settings.queuePerCustomer = 2;
    request_queue queue(settings);
    EXPECT_TRUE(queue.push(requestOf(1, "a", request_class::bulk), 1));
    EXPECT_TRUE(queue.push(requestOf(2, "a", request_class::bulk), 1));
    EXPECT_FALSE(queue.push(requestOf(3, "a", request_class::bulk), 1));
    EXPECT_TRUE(queue.push(requestOf(4, "b", request_class::bulk), 1));
}

TEST(request_queue, drops_requests_that_would_miss_their_deadline)
{
    request_queue queue({});
    queue.push(requestOf(1, "a", request_class::interactive, 50), 1);
    queue.push(requestOf(2, "a", request_class::interactive, 500), 1);
    const auto dropped = queue.dropLate(monotonic_time(milliseconds(100)));
    ASSERT_EQ(dropped.size(), 1u);
    EXPECT_EQ(dropped[0].ticket, 1u);
    EXPECT_EQ(queue.size(), 1u);
    EXPECT_TRUE(queue.remove(2));
    EXPECT_EQ(queue.size(), 0u);
}

} // namespace flamingoroute
