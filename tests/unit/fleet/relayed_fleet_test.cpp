#include "flamingoroute/fleet/fleet_members.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace flamingoroute {

namespace {

/// Instances in three regions that report through relays, on a simulated clock. Messages are delivered immediately.
class relayed_fleet {
public:
    explicit relayed_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_where.push_back(memberNumber(i));
        for (const auto& self : m_where) {
            m_nodes.push_back(std::make_unique<fleet_members>(self));
            m_nodes.back()->setSelfReady(true);
            for (const auto& other : m_where)
                m_nodes.back()->recordRegistered(other, m_now);
        }
        m_isUp.assign(size, true);
    }

    /// Registers an instance again, with twenty times the link bandwidth of the others.
    void widenLink(std::size_t which)
    {
        m_where[which].linkMbps = 200;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i == which)
                m_nodes[i] = std::make_unique<fleet_members>(m_where[which]);
            m_nodes[i]->recordRegistered(m_where[which], m_now);
        }
        m_nodes[which]->setSelfReady(true);
        for (const auto& other : m_where)
            m_nodes[which]->recordRegistered(other, m_now);
    }

    void setUp(std::size_t which, bool isUp) { m_isUp[which] = isUp; }

    void setDemand(std::size_t which, float perSecond, std::uint32_t admitted)
    {
        m_demand.resize(m_nodes.size());
        m_demand[which] = { "ronda", perSecond, admitted };
    }

    void simulate(int ms)
    {
        for (int passed = 0; passed < ms; passed += 500) {
            m_now += milliseconds(500);
            ++m_ticks;
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_isUp[i])
                    report(i);
            }
            for (std::size_t i = 0; m_ticks % 2 == 0 && i < m_nodes.size(); ++i) {
                if (m_isUp[i] && m_nodes[i]->isRelay(m_now))
                    sendDigest(i);
            }
        }
    }

    std::vector<std::size_t> relaysIn(const std::string& region) const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_isUp[i] && m_where[i].region.value() == region && m_nodes[i]->isRelay(m_now))
                result.push_back(i);
        }
        return result;
    }

    fleet_members& node(std::size_t which) { return *m_nodes[which]; }
    monotonic_time now() const { return m_now; }
    std::uint64_t messages() const { return m_messages; }

private:
    static member memberNumber(std::size_t number)
    {
        member result;
        result.instance = instance_id("entry-" + std::to_string(100 + number));
        result.region = region_id("region-" + std::to_string(number % 3));
        result.failureDomain = failure_domain_id("domain-" + std::to_string(number % 6));
        result.callerAddress = { "10.0.0." + std::to_string(number + 1), 80 };
        result.linkMbps = 10;
        result.entryAddress = { "10.0.0." + std::to_string(number + 1), 7560 };
        return result;
    }

    std::size_t numberAt(const endpoint& address) const
    {
        const auto found = std::find_if(
            m_where.begin(), m_where.end(), [&](const member& one) { return one.entryAddress == address; });
        return static_cast<std::size_t>(found - m_where.begin());
    }

    template <typename Deliver> void deliver(const endpoint& to, Deliver take)
    {
        ++m_messages;
        const auto which = numberAt(to);
        if (m_isUp[which])
            take(*m_nodes[which]);
    }

    void report(std::size_t which)
    {
        fleet_report own;
        own.instance = m_where[which].instance.value();
        own.failureDomain = m_where[which].failureDomain.value();
        own.region = m_where[which].region.value();
        own.callerAddress = toString(m_where[which].callerAddress);
        own.peerAddress = toString(m_where[which].entryAddress);
        own.isReady = true;
        own.hasFullWindow = true;
        if (which < m_demand.size() && !m_demand[which].customer.empty())
            own.demand = { m_demand[which] };
        m_nodes[which]->recordLocalReport(own, m_now);
        for (const auto& relay : m_nodes[which]->relays(m_now))
            deliver(relay.entryAddress, [&](fleet_members& node) { node.recordReport(own, m_now); });
    }

    void sendDigest(std::size_t which)
    {
        auto& node = *m_nodes[which];
        region_digest digest;
        digest.sender = m_where[which].instance.value();
        digest.senderAddress = toString(m_where[which].entryAddress);
        digest.hasSums = node.isFirstRelay(m_now);
        digest.sum.region = m_where[which].region.value();
        if (digest.hasSums) {
            digest.sum = node.sumOfRegion(m_now);
            for (const auto& relay : node.relaysOfOtherRegions(m_now))
                deliver(relay, [&](fleet_members& other) { other.recordDigest(digest, m_now); });
        }
        digest.members = node.memberReadiness(m_now);
        digest.isStoreConnected = true;
        for (const auto& sum : node.digests().freshSums(m_now)) {
            if (digest.hasSums && sum.region != digest.sum.region)
                digest.others.push_back(sum);
        }
        node.recordDigest(digest, m_now);
        for (const auto& other : node.regionOthers())
            deliver(other.entryAddress, [&](fleet_members& one) { one.recordDigest(digest, m_now); });
    }

    std::vector<member> m_where;
    std::vector<std::unique_ptr<fleet_members>> m_nodes;
    std::vector<bool> m_isUp;
    std::vector<customer_demand> m_demand;
    monotonic_time m_now { seconds(100) };
    std::uint64_t m_ticks = 0;
    std::uint64_t m_messages = 0;
};

const customer_id customer("ronda");

} // namespace

TEST(relayed_fleet, adds_up_what_all_instances_report)
{
    relayed_fleet fleet(30);
    for (std::size_t i = 0; i < 30; ++i)
        fleet.setDemand(i, 2, 10);
    fleet.simulate(6000);
    for (const std::size_t which : { 0U, 7U, 29U }) {
        const auto view = fleet.node(which).demandFor(customer, fleet.now());
        EXPECT_EQ(view.members, 30U);
        EXPECT_EQ(view.reachable, 30U);
        EXPECT_EQ(view.withFullWindow, 29U);
        EXPECT_NEAR(view.ofReachable, 60, 0.1);
        EXPECT_GE(view.othersAdmitted, 290);
        EXPECT_LE(view.othersAdmitted, 290 + 60 * 3);
    }
}

TEST(relayed_fleet, has_two_relays_in_a_region_and_replaces_those_that_die)
{
    relayed_fleet fleet(30);
    fleet.simulate(3000);
    const auto before = fleet.relaysIn("region-0");
    ASSERT_EQ(before.size(), 2U);
    for (const auto which : before)
        fleet.setUp(which, false);
    fleet.simulate(10'000);
    const auto after = fleet.relaysIn("region-0");
    ASSERT_EQ(after.size(), 2U);
    const std::size_t other = after.front() == 0 ? 3 : 0;
    EXPECT_TRUE(fleet.node(other).digests().hasConnectedRelay(fleet.now()));
}

TEST(relayed_fleet, has_relays_with_wide_links_where_there_are_enough)
{
    relayed_fleet fleet(30);
    for (const std::size_t wide : { 3U, 9U, 21U })
        fleet.widenLink(wide);
    fleet.simulate(4000);
    for (const auto which : fleet.relaysIn("region-0"))
        EXPECT_TRUE(which == 3 || which == 9 || which == 21) << which;
    EXPECT_EQ(fleet.relaysIn("region-0").size(), 2U);
    EXPECT_EQ(fleet.relaysIn("region-1").size(), 2U);
}

TEST(relayed_fleet, has_the_second_relay_tell_sums_once_the_first_is_silent)
{
    relayed_fleet fleet(30);
    for (std::size_t i = 0; i < 30; ++i)
        fleet.setDemand(i, 2, 10);
    fleet.simulate(4000);
    const auto relays = fleet.relaysIn("region-0");
    ASSERT_EQ(relays.size(), 2U);
    const bool isFrontFirst = fleet.node(relays.front()).isFirstRelay(fleet.now());
    EXPECT_NE(isFrontFirst, fleet.node(relays.back()).isFirstRelay(fleet.now()));
    fleet.setUp(isFrontFirst ? relays.front() : relays.back(), false);
    fleet.simulate(8000);
    const std::size_t other = 1; // of another region
    EXPECT_EQ(fleet.node(other).demandFor(customer, fleet.now()).reachable, 29U);
}

TEST(relayed_fleet, does_not_return_a_stopped_instance_that_two_relays_had_reported)
{
    relayed_fleet fleet(30);
    fleet.simulate(5000);
    const auto relays = fleet.relaysIn("region-0");
    std::size_t stopped = 0;
    while (std::find(relays.begin(), relays.end(), stopped) != relays.end())
        stopped += 3;
    const auto stoppedMember = fleet.node(stopped).self();
    fleet.setUp(stopped, false);
    fleet.simulate(7000);
    for (std::size_t i = 0; i < 30; i += 3) {
        if (i == stopped)
            continue;
        for (const auto& named :
            fleet.node(i).nearestReady(stoppedMember.failureDomain, stoppedMember.region, fleet.now()))
            EXPECT_NE(named.instance, stoppedMember.instance);
    }
}

TEST(relayed_fleet, sends_far_fewer_messages_than_a_full_mesh)
{
    relayed_fleet fleet(84);
    fleet.simulate(10'000);
    const std::uint64_t fullMesh = 84 * 83 * 20;
    EXPECT_LT(fleet.messages(), fullMesh / 20);
}

TEST(relayed_fleet, keeps_registrations_of_other_regions_whose_instances_do_not_report_directly)
{
    relayed_fleet fleet(30);
    fleet.simulate(60'000);
    for (const auto& other : fleet.node(0).others())
        EXPECT_FALSE(fleet.node(0).isLost(other.instance, fleet.now())) << other.instance.value();
}

TEST(relayed_fleet, splits_a_rate_into_parts_that_sum_to_no_more_than_the_whole_while_demand_rises)
{
    constexpr std::size_t size = 30;
    relayed_fleet fleet(size);
    const auto setAll = [&](float perSecond) {
        for (std::size_t i = 0; i < size; ++i)
            fleet.setDemand(i, perSecond, 0);
    };
    const auto sumOfShares = [&] {
        double sum = 0;
        for (std::size_t i = 0; i < size; ++i)
            sum += rateShare(fleet.node(i).demandFor(customer, fleet.now()));
        return sum;
    };
    setAll(10);
    fleet.simulate(5000);
    EXPECT_NEAR(sumOfShares(), 1, 0.02);
    // The demand of a customer rises to eight times its usual, smoothed over three seconds. In the first seconds the
    // shares may exceed the whole, since the preceding window was not full.
    for (const float perSecond : { 20.7F, 29.8F, 37.5F, 44.0F, 49.6F, 54.2F, 58.2F, 61.5F, 64.4F, 66.8F }) {
        setAll(perSecond);
        fleet.simulate(500);
        const bool isFull = perSecond > 52;
        EXPECT_LE(sumOfShares(), isFull ? 1.02 : 2) << "at " << perSecond;
    }
    // Demand that has just moved to one instance gets a share there immediately.
    fleet.setDemand(4, 200, 0);
    fleet.simulate(500);
    EXPECT_GE(rateShare(fleet.node(4).demandFor(customer, fleet.now())), 0.05);
}

} // namespace flamingoroute
