#include "flamingoroute/fleet/fleet_members.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

monotonic_time at(int ms) { return monotonic_time(milliseconds(100'000 + ms)); }

member memberNamed(const std::string& name, const std::string& domain, const std::string& region)
{
    member result;
    result.instance = instance_id(name);
    result.failureDomain = failure_domain_id(domain);
    result.region = region_id(region);
    result.callerAddress = { "10.0.0.1", 80 };
    result.entryAddress = { "10.0.0.1", 7560 };
    return result;
}

fleet_report reportOf(const member& which, bool isReady)
{
    fleet_report report;
    report.instance = which.instance.value();
    report.failureDomain = which.failureDomain.value();
    report.region = which.region.value();
    report.callerAddress = toString(which.callerAddress);
    report.peerAddress = toString(which.entryAddress);
    report.isReady = isReady;
    return report;
}

const member self = memberNamed("entry-1", "centro-a", "centro");
const member sameDomain = memberNamed("entry-2", "centro-a", "centro");
const member sameRegion = memberNamed("entry-3", "centro-b", "centro");
const member far = memberNamed("entry-4", "oriente-a", "oriente");

} // namespace

TEST(fleet_members, returns_ready_instances_of_the_domain_then_of_the_region_then_any)
{
    fleet_members members(self);
    const auto near = [&](const std::string& domain, const std::string& region) {
        return members.nearestReady(failure_domain_id(domain), region_id(region), at(0));
    };
    EXPECT_TRUE(near("centro-a", "centro").empty());
    members.recordReport(reportOf(far, true), at(0));
    EXPECT_EQ(near("centro-a", "centro").front().instance, far.instance);
    members.recordReport(reportOf(sameRegion, true), at(0));
    EXPECT_EQ(near("centro-a", "centro").front().instance, sameRegion.instance);
    members.setSelfReady(true);
    members.recordReport(reportOf(sameDomain, false), at(0));
    ASSERT_EQ(near("centro-a", "centro").size(), 1U);
    EXPECT_EQ(near("centro-a", "centro").front().instance, self.instance);
}

TEST(fleet_members, does_not_return_an_unreachable_or_leaving_instance)
{
    fleet_members members(self);
    members.recordReport(reportOf(sameDomain, true), at(0));
    EXPECT_EQ(members.nearestReady(sameDomain.failureDomain, sameDomain.region, at(1000)).size(), 1U);
    EXPECT_TRUE(members.nearestReady(sameDomain.failureDomain, sameDomain.region, at(2500)).empty());
    auto leaving = reportOf(sameDomain, true);
    leaving.isLeaving = true;
    members.recordReport(leaving, at(3000));
    EXPECT_TRUE(members.nearestReady(sameDomain.failureDomain, sameDomain.region, at(3001)).empty());
}

TEST(fleet_members, counts_an_unreachable_registered_instance_until_it_is_unregistered)
{
    fleet_members members(self);
    members.recordRegistered(sameDomain, at(0));
    EXPECT_EQ(members.size(), 2U);
    EXPECT_EQ(members.reachableCount(at(10'000)), 1U);
    EXPECT_FALSE(members.isLost(sameDomain.instance, at(10'000)));
    EXPECT_TRUE(members.isLost(sameDomain.instance, at(40'000)));
    members.removeRegistered(sameDomain.instance);
    EXPECT_EQ(members.size(), 1U);
}

TEST(fleet_members, ignores_a_report_without_a_valid_address)
{
    fleet_members members(self);
    auto report = reportOf(sameDomain, true);
    report.callerAddress = "nowhere";
    members.recordReport(report, at(0));
    EXPECT_EQ(members.size(), 1U);
}

// RECOVER: look-ups went on to name instances that were partitioned from all upstreams.
TEST(fleet_members, names_no_instance_that_reaches_no_upstream_while_there_are_others)
{
    fleet_members members(self);
    members.setSelfReady(true);
    const auto report = [&](const member& which, bool reachesUpstreams) {
        auto next = reportOf(which, true);
        next.reachesUpstreams = reachesUpstreams;
        members.recordReport(next, at(0));
    };
    const auto near = [&] { return members.nearestReady(self.failureDomain, self.region, at(0)); };
    report(sameDomain, false);
    report(sameRegion, true);
    EXPECT_EQ(near(), std::vector<member> { self });
    members.setSelfReachesUpstreams(false);
    EXPECT_EQ(near(), std::vector<member> { sameRegion });
    report(sameRegion, false);
    EXPECT_EQ(near().size(), 2U) << "nobody is better";
}

TEST(fleet_members, forwards_to_ready_instances_of_the_region_that_reach_upstreams_else_to_those_of_other_regions)
{
    fleet_members members(self);
    for (auto peer : { sameDomain, sameRegion, far }) {
        peer.forwardAddress = { "10.0.0.1", 7561 };
        members.recordRegistered(peer, at(0));
    }
    EXPECT_TRUE(members.forwardingPeers(at(0)).empty()) << "none has reported";
    for (const auto& peer : { sameDomain, sameRegion, far })
        members.recordReport(reportOf(peer, true), at(0));
    EXPECT_EQ(members.forwardingPeers(at(0)).size(), 2U);
    for (const auto& peer : { sameDomain, sameRegion }) {
        auto next = reportOf(peer, true);
        next.reachesUpstreams = false;
        members.recordReport(next, at(0));
    }
    ASSERT_EQ(members.forwardingPeers(at(0)).size(), 1U);
    EXPECT_EQ(members.forwardingPeers(at(0)).front().instance, far.instance);
}

} // namespace flamingoroute
