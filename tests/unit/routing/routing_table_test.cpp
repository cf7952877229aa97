#include "flamingoroute/routing/routing_table.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

routing_rule ruleAt(const std::string& name, const std::string& host, const std::string& prefix)
{
    routing_rule rule;
    rule.name = name;
    rule.host = host;
    rule.pathPrefix = prefix;
    rule.shares = { { service_id("mostrador"), 1 } };
    return rule;
}

routing_table tableWithRules()
{
    fleet_configuration source;
    source.version = 7;
    source.rules = { ruleAt("all", "counter.example", "/"), ruleAt("tickets", "counter.example", "/tickets/"),
        ruleAt("old", "counter.example", "/tickets/old/") };
    customer_policy customer;
    customer.name = customer_id("ronda");
    customer.keys = { "k1", "k2" };
    source.customers = { customer };
    return routing_table(source);
}

} // namespace

TEST(routing_table, finds_the_rule_with_the_longest_prefix_of_the_host)
{
    const auto table = tableWithRules();
    EXPECT_EQ(table.findRule("counter.example", "/tickets/17")->name, "tickets");
    EXPECT_EQ(table.findRule("counter.example", "/tickets/old/1?x=/")->name, "old");
    EXPECT_EQ(table.findRule("counter.example", "/ticketsx")->name, "all");
    EXPECT_EQ(table.findRule("other.example", "/tickets/17"), nullptr);
}

TEST(routing_table, ignores_the_port_and_the_case_of_a_host_and_the_query_of_a_target)
{
    const auto table = tableWithRules();
    EXPECT_EQ(table.findRule("Counter.Example:8080", "/tickets/1")->name, "tickets");
    EXPECT_EQ(table.findRule("counter.example", "/?/tickets/")->name, "all");
}

TEST(routing_table, finds_the_customer_of_each_of_its_keys_and_no_other)
{
    const auto table = tableWithRules();
    EXPECT_EQ(table.findCustomer("k2")->name, customer_id("ronda"));
    EXPECT_EQ(table.findCustomer(""), nullptr);
    EXPECT_EQ(table.findCustomer("k3"), nullptr);
}

} // namespace flamingoroute
