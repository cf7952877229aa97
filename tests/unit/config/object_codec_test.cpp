#include "flamingoroute/config/configuration_checker.hpp"
#include "flamingoroute/config/object_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace flamingoroute {

namespace {

const std::string fullConfiguration = R"({"objects":[
 {"kind":"region","name":"r1","links":[{"to":"r2","distance_ms":55,"megabits_per_second":4000}]},
 {"kind":"region","name":"r2"},
 {"kind":"failure_domain","name":"d1","region":"r1"},
 {"kind":"service","name":"mostrador","current_version":"v1","unclaimable":"run_in_domain",
  "routes":[{"name":"lookup","path_prefix":"/tickets","methods":["GET"],"repeatable":true,"class":"bulk","deadline_ms":800}]},
 {"kind":"version","name":"v1","service":"mostrador"},
 {"kind":"version","name":"v2","service":"mostrador"},
 {"kind":"upstream","name":"m-1","service":"mostrador","version":"v1","failure_domain":"d1","address":"127.0.0.1:9001","slots":6},
 {"kind":"customer","name":"ronda","weight":2},
 {"kind":"key","name":"k1","customer":"ronda","hash":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"},
 {"kind":"rate","name":"ronda","customer":"ronda","per_second":200.5,"burst":40},
 {"kind":"move","name":"mv","service":"mostrador","from":"v1","to":"v2","cap_percent":50,"finish_by":"2026-12-04T10:00:00+00:00"},
 {"kind":"client_block","name":"b1","range":"10.1.0.0/16","region":"r1"},
 {"kind":"objective","name":"o1","service":"mostrador","latency_ms":50,"good_share":0.995}
]})";

bool hasProblem(const problem_list& problems, const std::string& path)
{
    return std::any_of(problems.begin(), problems.end(), [&](const problem& entry) { return entry.path == path; });
}

} // namespace

TEST(object_codec, reads_back_what_it_wrote_for_every_kind)
{
    const auto objects = parseConfiguration(fullConfiguration, "test");
    ASSERT_TRUE(objects) << describe(objects.error());
    const auto again = parseConfiguration(serializeConfiguration(*objects), "again");
    ASSERT_TRUE(again) << describe(again.error());
    EXPECT_EQ(*again, *objects);
    EXPECT_EQ(objects->moves[0].finishByUnixMs, 1796378400000);
    EXPECT_EQ(objects->services[0].routes[0].requestClass, request_class::bulk);
    EXPECT_TRUE(check(*objects).empty()) << describe(check(*objects));
}

TEST(object_codec, reports_all_problems_of_all_objects_at_once)
{
    const auto objects = parseConfiguration(R"({"objects":[
        {"kind":"upstream","name":"m-1","service":"s","version":"v","failure_domain":"d","address":"host:1","slots":0},
        {"kind":"rate","name":"x","customer":"c","per_second":1,"burst":1,"brust":2},
        {"kind":"vip","name":"y"}]})",
        "set");
    ASSERT_FALSE(objects);
    EXPECT_TRUE(hasProblem(objects.error(), "upstream/m-1.address"));
    EXPECT_TRUE(hasProblem(objects.error(), "upstream/m-1.slots"));
    EXPECT_TRUE(hasProblem(objects.error(), "rate/x.brust"));
    EXPECT_TRUE(hasProblem(objects.error(), "vip/y.kind"));
}

TEST(configuration_checker, reports_object_and_field_of_each_problem)
{
    auto objects = *parseConfiguration(fullConfiguration, "test");
    objects.services[0].currentVersion = version_id("v9");
    objects.moves[0].to = objects.moves[0].from;
    objects.moves.push_back(objects.moves[0]);
    objects.moves[1].name = move_id("mv2");
    objects.clientBlocks[0].range = "10.1.0.1/16";
    objects.keys[0].customer = customer_id("nobody");
    const auto problems = check(objects);
    EXPECT_TRUE(hasProblem(problems, "service/mostrador.current_version"));
    EXPECT_TRUE(hasProblem(problems, "move/mv.to"));
    EXPECT_TRUE(hasProblem(problems, "move/mv2.service"));
    EXPECT_TRUE(hasProblem(problems, "client_block/b1.range"));
    EXPECT_TRUE(hasProblem(problems, "key/k1.customer"));
}

TEST(configuration_checker, rejects_two_objects_of_the_same_kind_and_name)
{
    auto objects = *parseConfiguration(fullConfiguration, "test");
    objects.customers.push_back(objects.customers[0]);
    EXPECT_TRUE(hasProblem(check(objects), "customer/ronda.name"));
}

} // namespace flamingoroute
