#include "requests_fake_store.hpp"

#include "flamingoroute/requests/quarantine_service.hpp"
#include "support/scenario/scenario_world.hpp"
#include "support/scenario/world_registry.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace flamingoroute::testing {

namespace {

using run_result = tl::expected<void, scenario_error>;

run_result fail(const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { 0, word, detail });
}

caller_request requestFor(const std::string& target)
{
    caller_request request;
    request.method = "POST";
    request.target = target;
    return request;
}

/// Instances that each run a quarantine service, and upstreams that fail on a certain request. Commands:
///
///     instances COUNT
///     notices lose PERCENT
///     crasher | lookup                 a request through a random instance
///     expect broken upstreams at most COUNT
///     expect refused lookups at most COUNT
class requests_quarantine_world : public scenario_world {
public:
    explicit requests_quarantine_world(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void advanceTo(microseconds now) override { m_queue.advanceTo(now); }

    run_result run(const scenario_command& command) override
    {
        const auto& words = command.words;
        if (words[0] == "instances" && words.size() == 2)
            return addInstances(std::stoi(words[1]));
        if (words[0] == "notices" && words.size() == 3)
            return setLoss(std::stoi(words[2]));
        if (words[0] == "crasher")
            return sendCrasher();
        if (words[0] == "lookup")
            return sendLookup();
        if (words[0] == "expect" && words.size() == 6 && words[1] == "broken")
            return expectAtMost("broken upstreams", m_broken, std::stoi(words[5]));
        if (words[0] == "expect" && words.size() == 6 && words[1] == "refused")
            return expectAtMost("refused lookups", m_refusedLookups, std::stoi(words[5]));
        return fail(words[0], "is not a command of this world");
    }

private:
    run_result addInstances(int count)
    {
        for (int i = 0; i < count; ++i) {
            quarantine_hooks hooks;
            hooks.now = [this] { return monotonic_time { m_queue.now() }; };
            hooks.choosePeers = [this, i](std::size_t maximum) { return peersOf(i, maximum); };
            hooks.send = [this](const auto& to, const auto& notice) { deliver(to, notice); };
            m_instances.push_back(std::make_unique<quarantine_service>(quarantine_limits {}, hooks));
        }
        return {};
    }

    run_result setLoss(int percent)
    {
        m_lossPercent = percent;
        return {};
    }

    std::vector<instance_id> peersOf(int self, std::size_t maximum)
    {
        std::vector<instance_id> peers;
        for (int i = 0; i < static_cast<int>(m_instances.size()); ++i) {
            if (i != self)
                peers.emplace_back(std::to_string(i));
        }
        std::shuffle(peers.begin(), peers.end(), m_random);
        peers.resize(std::min(peers.size(), maximum));
        return peers;
    }

    void deliver(const instance_id& to, const quarantine_notice& notice)
    {
        if (static_cast<int>(m_random() % 100) < m_lossPercent)
            return;
        constexpr int maxDelayUs = 60'000;
        m_queue.after(microseconds(m_random() % maxDelayUs),
            [this, to, notice] { m_instances[std::stoi(to.value())]->receive(notice); });
    }

    quarantine_service& anyInstance() { return *m_instances[m_random() % m_instances.size()]; }

    run_result sendCrasher()
    {
        auto& through = anyInstance();
        const auto request = requestFor("/orders/crash");
        if (through.check(m_customer, m_route, request))
            return {};
        through.recordBroken(m_customer, m_route, request, upstream_id("u" + std::to_string(++m_broken)));
        // A look-up that ran concurrently on the same upstream fails too.
        const auto beside = requestFor("/tickets/" + std::to_string(m_random() % m_hotTickets));
        through.recordBroken(m_customer, m_route, beside, upstream_id("u" + std::to_string(m_broken)));
        return {};
    }

    run_result sendLookup()
    {
        auto& through = anyInstance();
        const auto request = requestFor("/tickets/" + std::to_string(m_random() % m_hotTickets));
        if (through.check(m_customer, m_route, request))
            ++m_refusedLookups;
        else
            through.recordAnswered(m_customer, m_route, request);
        return {};
    }

    static run_result expectAtMost(const std::string& what, int actual, int maximum)
    {
        if (actual <= maximum)
            return {};
        return fail(what, std::to_string(actual) + " instead of at most " + std::to_string(maximum));
    }

    const customer_id m_customer { "mender" };
    const route m_route { "orders", "/orders", {} };
    const int m_hotTickets = 20;
    std::mt19937_64 m_random;
    event_queue m_queue;
    std::vector<std::unique_ptr<quarantine_service>> m_instances;
    int m_lossPercent = 0;
    int m_broken = 0;
    int m_refusedLookups = 0;
};

const world_registration registration(
    "requests_quarantine", [](std::uint64_t seed) { return std::make_unique<requests_quarantine_world>(seed); });

} // namespace

} // namespace flamingoroute::testing
