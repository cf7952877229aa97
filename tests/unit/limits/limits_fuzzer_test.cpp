#include "support/limits/limits_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace flamingoroute::testing {

namespace {

constexpr std::uint64_t seedsPerShard = 1000;
constexpr int stepsPerRun = 120;
const customer_id fuzzedCustomer("ronda");

/// Short durations, so that leases, floors and grants expire many times in a run.
limit_settings shortDurations()
{
    limit_settings settings;
    settings.grantLifetime = milliseconds { 120 };
    settings.grantDeliveryTimeout = milliseconds { 60 };
    settings.maxClockDrift = milliseconds { 5 };
    settings.reportInterval = milliseconds { 100 };
    settings.idleTimeout = milliseconds { 1500 };
    settings.floorLifetime = milliseconds { 900 };
    settings.promiseDuration = milliseconds { 300 };
    settings.promiseInterval = milliseconds { 70 };
    settings.abandonedTimeout = milliseconds { 2000 };
    settings.renewInterval = milliseconds { 600 };
    settings.resplitInterval = milliseconds { 300 };
    settings.readRetryInterval = milliseconds { 100 };
    return settings;
}

std::vector<member> fewMembers(std::size_t count)
{
    auto members = nineInstanceFleet();
    std::vector<member> few;
    for (std::size_t i = 0; i < count; ++i)
        few.push_back(members[i * 2 % members.size()]);
    return few;
}

/// One run: random faults and demand, the invariants checked after each step.
class fuzzer_run {
public:
    explicit fuzzer_run(std::uint64_t seed)
        : m_random(seed * 7919 + 1)
        , m_fleet(seed, fewMembers(3 + seed % 3), withFloors(seed))
        , m_isLimitFixed(seed % 2 == 0)
    {
        m_fleet.faults.regionDelay = microseconds(pick(20000));
        setLimit();
        for (const auto& one : m_fleet.members())
            m_fleet.setDemand(fuzzedCustomer, one.instance, pick(200));
    }

    /// @return the violated invariant, or an empty text
    std::string run()
    {
        for (int step = 0; step < stepsPerRun; ++step) {
            applyRandomEvent();
            const auto until = m_fleet.now() + milliseconds(1 + pick(90));
            while (m_fleet.now() < until) {
                m_fleet.advanceTo(std::min<monotonic_time>(until, m_fleet.now() + milliseconds { 10 }));
                const auto violation = findViolation();
                if (!violation.empty())
                    return "step " + std::to_string(step) + ": " + violation;
            }
        }
        return "";
    }

private:
    static limit_settings withFloors(std::uint64_t seed)
    {
        auto settings = shortDurations();
        settings.floorFraction = seed % 4 == 3 ? 0.6 : 0.3;
        return settings;
    }

    std::int64_t pick(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }
    const member& randomMember()
    {
        return m_fleet.members()[static_cast<std::size_t>(pick(static_cast<std::int64_t>(m_fleet.members().size())))];
    }

    void setLimit()
    {
        const double perSecond = 20 + static_cast<double>(pick(100));
        const int burst = 1 + static_cast<int>(pick(30));
        m_highest = { std::max(m_highest.perSecond, perSecond), std::max(m_highest.depth, burst) };
        m_fleet.setLimit(fuzzedCustomer, perSecond, burst);
    }

    void restart(const instance_id& picked, bool isEntry, bool isControl)
    {
        if (isEntry) {
            m_fleet.killEntry(picked);
            m_fleet.startEntry(picked);
        }
        if (isControl) {
            m_fleet.killControl(picked);
            m_fleet.startControl(picked);
        }
    }

    void applyRandomEvent()
    {
        const auto& picked = randomMember();
        const auto holder = m_fleet.holderOf(fuzzedCustomer);
        const auto& target = pick(2) == 0 && !holder.empty() ? holder : picked.instance;
        switch (pick(16)) {
        case 0:
            return m_fleet.setDemand(
                fuzzedCustomer, picked.instance, pick(3) == 0 ? 0 : static_cast<double>(pick(300)));
        case 1:
            m_fleet.faults.loss = pick(2) == 0 ? 0 : 0.3;
            m_fleet.faults.duplicated = pick(2) == 0 ? 0 : 0.5;
            return;
        case 2:
            m_fleet.faults.jitter = microseconds(pick(2) == 0 ? 0 : pick(300000));
            return;
        case 3:
            return m_fleet.pause(target);
        case 4:
        case 5:
            for (const auto& one : m_fleet.members())
                m_fleet.resume(one.instance);
            return;
        case 6:
            return restart(target, true, pick(2) == 0);
        case 7:
            return restart(target, false, true);
        case 8:
            return pick(2) == 0 ? m_fleet.killEntry(target) : m_fleet.killControl(target);
        case 9:
            m_fleet.faults.isStoreDown = !m_fleet.faults.isStoreDown;
            return;
        case 10:
            m_fleet.faults.lostAnswers = pick(2) == 0 ? 0 : 0.5;
            m_fleet.faults.lateWrites = microseconds(pick(2) == 0 ? 0 : pick(800000));
            return;
        case 11:
            return m_fleet.partition(picked.failureDomain.value(), pick(2) == 0 ? "peers" : "platform");
        case 12:
        case 13:
            for (const auto& one : m_fleet.members())
                m_fleet.rejoin(one.failureDomain.value());
            return;
        case 14:
            if (!m_isLimitFixed)
                setLimit();
            return;
        default:
            m_fleet.faults.isStoreDown = false;
            return restart(picked.instance, pick(2) == 0, pick(2) == 0);
        }
    }

    std::string findViolation()
    {
        const share inUse = m_fleet.shareInUse(fuzzedCustomer);
        const share reserved = m_fleet.reserved(fuzzedCustomer);
        const double slack = 1e-6;
        if (inUse.perSecond > reserved.perSecond + slack || inUse.depth > reserved.depth)
            return "in use " + describeShare(inUse) + " reserved " + describeShare(reserved);
        if (reserved.perSecond > m_highest.perSecond + slack || reserved.depth > m_highest.depth)
            return "reserved " + describeShare(reserved) + " limit " + describeShare(m_highest);
        if (!m_fleet.meter(fuzzedCustomer).isWithinBound())
            return "admitted too many: " + std::to_string(m_fleet.meter(fuzzedCustomer).maxExcess());
        return "";
    }

    static std::string describeShare(const share& part)
    {
        return std::to_string(part.perSecond) + "/s depth " + std::to_string(part.depth);
    }

    std::mt19937_64 m_random;
    limits_fleet m_fleet;
    bool m_isLimitFixed;
    share m_highest;
};

class limits_fuzzer : public ::testing::TestWithParam<std::uint64_t> { };

} // namespace

TEST_P(limits_fuzzer, never_admits_more_than_rate_times_window_plus_burst)
{
    // FLAMINGOROUTE_FUZZ_FACTOR multiplies the number of seeds.
    const char* factor = std::getenv("FLAMINGOROUTE_FUZZ_FACTOR");
    const std::uint64_t seeds = seedsPerShard * (factor ? std::strtoull(factor, nullptr, 10) : 1);
    // FLAMINGOROUTE_FUZZ_SEED runs a single seed.
    const char* single = std::getenv("FLAMINGOROUTE_FUZZ_SEED");
    for (std::uint64_t i = 0; i < (single ? 1 : seeds); ++i) {
        const std::uint64_t seed = single ? std::strtoull(single, nullptr, 10) : GetParam() * seeds + i;
        const auto violation = fuzzer_run(seed).run();
        ASSERT_EQ(violation, "") << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(shard, limits_fuzzer, ::testing::Range<std::uint64_t>(0, 10));

} // namespace flamingoroute::testing
