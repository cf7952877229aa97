#include "flamingoroute/steering/slot_holder.hpp"
#include "flamingoroute/steering/slot_ledger.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace flamingoroute {

namespace {

constexpr int slotsOfUpstream = 6;
constexpr milliseconds maxDeadline { 500 };
const failure_domain_id domain { "d" };

/// Lifetimes so short that grants expire often.
steering_settings shortLifetimes()
{
    steering_settings settings;
    settings.grantLifetime = milliseconds { 300 };
    settings.clockDrift = milliseconds { 10 };
    settings.renewInterval = milliseconds { 100 };
    settings.retransmitInterval = milliseconds { 50 };
    return settings;
}

const upstream_id target { "u" };

/// Two allocators and three instances that exchange messages. Messages are reordered, lost and duplicated; instances
/// are partitioned and restarted; the allocator role is taken over.
class sharing_run {
public:
    explicit sharing_run(std::uint64_t seed)
        : m_generator(seed)
    {
        upstream object;
        object.name = target;
        object.failureDomain = domain;
        object.slots = slotsOfUpstream;
        for (auto& ledger : m_ledgers)
            ledger.adopt({ object }, maxDeadline);
        for (int i = 0; i < 3; ++i)
            m_holders.push_back(makeHolder(i));
        m_ledgers[0].begin({ 1, true, {} }, instance_id("a0"), now());
    }

    void step()
    {
        m_now += microseconds(static_cast<std::int64_t>(below(40'000)));
        for (auto& lingering : m_running) {
            if (lingering.until <= now())
                lingering.isOver = true;
        }
        std::erase_if(m_running, [this](const running& one) { return endRun(one); });
        switch (below(10)) {
        case 0:
            return restartHolder(below(3));
        case 1:
            return takeOver();
        case 2:
            return confirm();
        case 3:
            return partitionHolder(below(3));
        default:
            break;
        }
        const auto index = below(3);
        m_holders[index].setDemand(target, static_cast<int>(below(7)), now());
        startRuns(index);
        const auto request = m_holders[index].takeRequest(milliseconds { 0 }, now());
        if (request && !isPartitioned(index))
            for (std::size_t to = 0; to < 2; ++to)
                post([this, request = *request, to] { m_ledgers[to].receive(request, now()); });
        for (auto& ledger : m_ledgers) {
            for (const auto& grant : ledger.takeGrants(now()))
                post([this, grant] {
                    for (std::size_t to = 0; to < 3; ++to) {
                        if (!isPartitioned(to))
                            m_holders[to].receive(grant, now());
                    }
                });
        }
        deliverSome();
    }

    /// @return requests that run now, over all running and terminated instances
    int inUse() const { return static_cast<int>(m_running.size()); }

    int started() const { return m_started; }

private:
    struct running {
        std::size_t index = 0;
        incarnation run = 0;
        monotonic_time until;
        bool isOver = false;
    };

    slot_holder makeHolder(std::size_t index)
    {
        return { domain, { instance_id("h" + std::to_string(index)), ++m_lastIncarnation, domain, region_id("r") },
            shortLifetimes() };
    }

    std::size_t below(std::size_t bound) { return m_generator() % bound; }
    monotonic_time now() const { return monotonic_time(m_now); }

    void restartHolder(std::size_t index)
    {
        if (below(16) != 0)
            return;
        m_holders[index] = makeHolder(index);
        m_incarnations[index] = m_lastIncarnation;
    }

    /// No message reaches or leaves the instance for a while; it continues to serve.
    void partitionHolder(std::size_t index)
    {
        if (below(8) == 0)
            m_partitionedUntil[index] = now() + milliseconds(static_cast<std::int64_t>(below(3000)));
    }

    bool isPartitioned(std::size_t index) const { return now() < m_partitionedUntil[index]; }

    /// The other allocator takes the role; the old one has terminated, or continues without detecting it.
    void takeOver()
    {
        if (below(40) != 0)
            return;
        const auto next = 1 - m_active;
        const instance_id old("a" + std::to_string(m_active));
        m_predecessors.emplace_back(old, m_epoch);
        ++m_epoch;
        m_ledgers[next].begin({ m_epoch, false, m_predecessors }, instance_id("none"), now());
        if (below(2) == 0) {
            m_ledgers[m_active].end();
            m_ledgers[next].confirmTerminated(old, m_epoch, now());
            std::erase_if(m_predecessors, [&](const instance_run& run) { return run.first == old; });
        }
        m_active = next;
        for (auto& holder : m_holders) {
            if (below(2) == 0)
                holder.advanceEpoch(m_epoch);
        }
    }

    void confirm() { m_ledgers[m_active].confirmLease(now()); }

    void startRuns(std::size_t index)
    {
        while (m_holders[index].hasFreeSlot(target, now()) && below(4) != 0) {
            m_holders[index].takeSlot(target, now());
            const auto length = milliseconds(static_cast<std::int64_t>(below(maxDeadline.count())));
            m_running.push_back({ index, m_incarnations[index], now() + length, false });
            ++m_started;
        }
    }

    bool endRun(const running& one)
    {
        if (one.isOver && one.run == m_incarnations[one.index])
            m_holders[one.index].releaseSlot(target, now());
        return one.isOver;
    }

    void post(std::function<void()> message)
    {
        if (below(5) == 0)
            return;
        m_messages.push_back(message);
        if (below(5) == 0)
            m_messages.push_back(std::move(message));
    }

    void deliverSome()
    {
        for (auto count = below(8); count > 0 && !m_messages.empty(); --count) {
            const auto place = static_cast<std::ptrdiff_t>(below(std::min<std::size_t>(m_messages.size(), 8)));
            const auto message = m_messages[static_cast<std::size_t>(place)];
            m_messages.erase(m_messages.begin() + place);
            message();
        }
    }

    std::mt19937_64 m_generator;
    microseconds m_now { 1'000'000 };
    std::array<slot_ledger, 2> m_ledgers { slot_ledger(domain, shortLifetimes()),
        slot_ledger(domain, shortLifetimes()) };
    std::size_t m_active = 0;
    std::uint64_t m_epoch = 1;
    std::vector<instance_run> m_predecessors;
    incarnation m_lastIncarnation = 0;
    std::vector<slot_holder> m_holders;
    std::array<monotonic_time, 3> m_partitionedUntil {};
    std::array<incarnation, 3> m_incarnations { 1, 2, 3 };
    std::vector<running> m_running;
    std::deque<std::function<void()>> m_messages;
    int m_started = 0;
};

} // namespace

TEST(slot_sharing, never_runs_more_than_an_upstreams_slots_under_loss_restarts_and_takeovers)
{
    int started = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        sharing_run run(seed);
        for (int step = 0; step < 600; ++step) {
            run.step();
            ASSERT_LE(run.inUse(), slotsOfUpstream) << "seed " << seed << " step " << step;
        }
        started += run.started();
    }
    EXPECT_GT(started, 400 * 20); // guards against runs that start hardly any requests
}

TEST(slot_sharing, hands_a_dead_instances_slots_on_only_after_its_requests_have_ended)
{
    slot_ledger ledger(domain, {});
    upstream object;
    object.name = target;
    object.slots = slotsOfUpstream;
    ledger.adopt({ object }, maxDeadline);
    monotonic_time now(seconds(100));
    ledger.begin({ 1, true, {} }, instance_id("a"), now);
    slot_request request;
    request.domain = domain.value();
    request.instance = "h";
    request.instanceIncarnation = 1;
    request.isLocal = true;
    request.number = 1;
    request.epoch = 1;
    request.entries = { { target.value(), 0, slotsOfUpstream, slotsOfUpstream } };
    ledger.receive(request, now);
    ASSERT_EQ(ledger.takeGrants(now).size(), 1u);
    EXPECT_EQ(ledger.committed(target), slotsOfUpstream);
    ledger.confirmTerminated(instance_id("h"), 2, now);
    const auto ended = now + ledger.maxDeadline();
    ledger.confirmLease(ended);
    ledger.takeGrants(ended);
    EXPECT_EQ(ledger.committed(target), slotsOfUpstream);
    ledger.takeGrants(ended + seconds(60));
    EXPECT_EQ(ledger.committed(target), slotsOfUpstream) << "a successor may have taken them over";
    ledger.confirmLease(ended + milliseconds(1));
    ledger.takeGrants(ended + milliseconds(2));
    EXPECT_EQ(ledger.committed(target), 0);
}

} // namespace flamingoroute
