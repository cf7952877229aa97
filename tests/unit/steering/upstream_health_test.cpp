#include "flamingoroute/steering/internal/connection_subset.hpp"
#include "flamingoroute/steering/upstream_health.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

const service_id desk { "desk" };
const version_id v1 { "v1" };
constexpr monotonic_time start { seconds(100) };

configuration upstreams(int count)
{
    configuration current;
    for (int i = 0; i < count; ++i) {
        upstream target;
        target.name = upstream_id("u" + std::to_string(i));
        target.service = desk;
        target.version = v1;
        target.failureDomain = failure_domain_id("d" + std::to_string(i % 2));
        current.upstreams.push_back(target);
    }
    return current;
}

attempt_result resultOf(attempt_outcome outcome, int durationMs = 10)
{
    attempt_result result;
    result.outcome = outcome;
    result.duration = milliseconds(durationMs);
    return result;
}

} // namespace

TEST(upstream_health, never_ejects_more_than_the_set_share)
{
    upstream_health health({});
    const auto current = upstreams(6);
    health.adopt(current, start);
    for (int round = 0; round < 10; ++round) {
        for (const auto& target : current.upstreams)
            health.recordResult(target.name, resultOf(attempt_outcome::not_sent), start);
        EXPECT_LE(health.ejectedCount(desk, v1, start), 3u);
    }
    EXPECT_EQ(health.ejectedCount(desk, v1, start), 3u);
}

TEST(upstream_health, ignores_failed_probes_for_a_time_after_a_good_answer)
{
    upstream_health health({});
    health.adopt(upstreams(4), start);
    const upstream_id target("u0");
    health.recordResult(target, resultOf(attempt_outcome::answered), start);
    for (int i = 0; i < 5; ++i)
        health.recordProbe(target, {}, start + milliseconds(100));
    EXPECT_FALSE(health.isEjected(target, start + milliseconds(100)));
    for (int i = 0; i < 5; ++i)
        health.recordProbe(target, {}, start + seconds(10));
    EXPECT_TRUE(health.isEjected(target, start + seconds(10)));
}

TEST(upstream_health, ejects_failing_upstreams_although_their_health_endpoint_is_fine)
{
    upstream_health health({});
    health.adopt(upstreams(4), start);
    const upstream_id target("u0");
    for (int i = 0; i < 3; ++i) {
        health.recordResult(target, resultOf(attempt_outcome::unknown), start);
        health.recordProbe(target, { true, false, 0 }, start);
    }
    EXPECT_TRUE(health.isEjected(target, start));
    const auto back = start + seconds(4);
    EXPECT_FALSE(health.isEjected(target, back));
    EXPECT_LT(health.slowStartFactor(target, back), 0.5) << "it begins with a slow start";
}

TEST(upstream_health, ejects_an_upstream_far_slower_than_its_peers)
{
    upstream_health health({});
    const auto current = upstreams(5);
    health.adopt(current, start);
    for (int i = 0; i < 20; ++i) {
        for (const auto& target : current.upstreams)
            health.recordResult(
                target.name, resultOf(attempt_outcome::answered, target.name.value() == "u0" ? 900 : 10), start);
    }
    EXPECT_TRUE(health.isEjected(upstream_id("u0"), start));
    EXPECT_EQ(health.ejectedCount(desk, v1, start), 1u);
}

TEST(upstream_health, trusts_an_upstreams_leaving_report_over_its_health_endpoint)
{
    upstream_health health({});
    health.adopt(upstreams(2), start);
    auto refused = resultOf(attempt_outcome::refused);
    refused.isUpstreamLeaving = true;
    health.recordResult(upstream_id("u0"), refused, start);
    health.recordProbe(upstream_id("u0"), { true, false, 0 }, start + seconds(1));
    EXPECT_TRUE(health.isLeaving(upstream_id("u0"), start + seconds(1)));
    EXPECT_FALSE(health.isLeaving(upstream_id("u1"), start + seconds(1)));
}

TEST(connection_subset, keeps_the_connections_of_840_instances_below_an_upstreams_limit)
{
    steering_settings settings;
    upstream target;
    target.name = upstream_id("u");
    target.failureDomain = failure_domain_id("d0");
    target.maxConnections = 330;
    std::vector<member> members(840);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].instance = instance_id("i" + std::to_string(i));
        members[i].failureDomain = failure_domain_id("d" + std::to_string(i % 27));
    }
    int connections = 0;
    for (const auto& peer : members) {
        const bool isAllowed = mayConnect(peer.instance, target, members, settings);
        connections += isAllowed ? settings.connectionsPerInstance : 0;
        EXPECT_TRUE(isAllowed || peer.failureDomain != target.failureDomain) << peer.instance.value();
    }
    EXPECT_LE(connections, target.maxConnections);
    EXPECT_GE(connections, target.maxConnections / 2);
}

} // namespace flamingoroute
