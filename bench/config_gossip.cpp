#include "flamingoroute/config/config_replica.hpp"
#include "flamingoroute/peers/envelope_codec.hpp"
#include "flamingoroute/peers/membership.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <random>

namespace flamingoroute {

namespace {

constexpr seconds warmUp { 5 };
constexpr seconds measured { 20 };
constexpr milliseconds tick { 100 };

/// Both processes of each instance, as light members with their real decision code, on a virtual clock and a network
/// that delivers at once. Every heartbeat and offer is packed as it would go over the wire.
class gossip_fleet {
public:
    gossip_fleet(std::size_t instances, std::size_t domains)
    {
        for (std::size_t i = 0; i < instances; ++i)
            m_members.push_back(memberAt(i, i % domains));
        for (std::size_t i = 0; i < instances; ++i) {
            addProcess(i, process_role::entry);
            addProcess(i, process_role::control);
        }
        for (auto& light : m_processes)
            tellAll(light);
    }

    void run(seconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            for (auto& light : m_processes) {
                send(light, light.group->onTick(m_now));
                send(light, light.replica->onTick(m_now));
            }
            deliver();
        }
    }

    void resetCounters() { m_bytes = m_messages = 0; }
    double bytes() const { return static_cast<double>(m_bytes); }
    double messages() const { return static_cast<double>(m_messages); }

private:
    struct process {
        std::size_t place = 0;
        process_role role = process_role::entry;
        std::unique_ptr<membership> group;
        std::unique_ptr<config_replica> replica;
    };

    struct letter {
        std::size_t to = 0;
        envelope message;
    };

    static member memberAt(std::size_t number, std::size_t domain)
    {
        member result;
        result.instance = instance_id("entry-" + std::to_string(number));
        result.failureDomain = failure_domain_id("domain-" + std::to_string(domain));
        result.region = region_id("region-" + std::to_string(domain / 4));
        const std::string address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
        result.callerAddress = { address, 8080 };
        result.entryAddress = { address, 8081 };
        result.controlAddress = { address, 8082 };
        return result;
    }

    void addProcess(std::size_t place, process_role role)
    {
        const auto pick = [this](std::size_t bound) { return m_random() % bound; };
        auto& light = m_processes.emplace_back();
        light.place = place;
        light.role = role;
        light.group = std::make_unique<membership>(m_members[place], role, 1, membership_settings {}, pick);
        light.group->addSeeds(m_members);
        light.group->setLocalState(7, false, milliseconds { 300 });
        light.replica = std::make_unique<config_replica>(replica_settings {}, m_now, pick);
        replica_peers peers;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            if (i != place && m_members[i].failureDomain == m_members[place].failureDomain)
                peers.local.push_back({ m_members[i].instance, role });
        }
        if (light.group->isBridge(m_now)) {
            for (const auto& bridge : light.group->remoteBridges(m_now))
                peers.remote.push_back({ bridge, role });
        }
        light.replica->setPeers(peers);
    }

    /// Lets a process know all members as live, as after a long time.
    void tellAll(process& light)
    {
        heartbeat body;
        for (const auto& known : m_members) {
            body.records.push_back(recordOf(known));
            body.records.back().entryIncarnation = 1;
        }
        const auto& teller = m_members[(light.place + 1) % m_members.size()];
        light.group->onHeartbeat(teller.instance, process_role::control, 1, body, m_now);
    }

    std::size_t indexOf(const instance_id& instance, process_role role) const
    {
        const auto place = std::stoul(instance.value().substr(instance.value().find('-') + 1));
        return place * 2 + (role == process_role::entry ? 0 : 1);
    }

    void post(const process& from, const instance_id& to, process_role role, message_kind kind, std::string body)
    {
        const envelope message { m_members[from.place].instance, from.role, 1, ++m_sequence, kind, std::move(body) };
        const bool isLoopback = to == m_members[from.place].instance;
        if (!isLoopback) {
            m_bytes += encodeEnvelope(message).size();
            ++m_messages;
        }
        m_letters.push_back({ indexOf(to, role), message });
    }

    void send(const process& from, const std::vector<heartbeat_message>& messages)
    {
        for (const auto& wanted : messages)
            post(from, wanted.to, wanted.role, message_kind::heartbeat, packBody(wanted.body));
    }

    void send(const process& from, const replica_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* offer = std::get_if<send_offer>(&action))
                post(from, offer->to.instance, offer->to.role, message_kind::config_offer, packBody(offer->offer));
        }
    }

    void deliver()
    {
        while (!m_letters.empty()) {
            const letter next = std::move(m_letters.front());
            m_letters.pop_front();
            auto& receiver = m_processes[next.to];
            if (next.message.kind == message_kind::heartbeat) {
                send(receiver,
                    receiver.group->onHeartbeat(next.message.from, next.message.role, 1,
                        unpackBody<heartbeat>(next.message.body).value(), m_now));
            } else {
                send(receiver,
                    receiver.replica->onOffer({ next.message.from, next.message.role },
                        unpackBody<config_offer>(next.message.body).value(), m_now));
            }
        }
    }

    std::mt19937_64 m_random { 1 };
    monotonic_time m_now { seconds { 100 } };
    std::vector<member> m_members;
    std::deque<process> m_processes;
    std::deque<letter> m_letters;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_messages = 0;
};

/// Arguments: instances, failure domains. Counters are per instance, both processes together, sent bytes only.
void steadyGossip(benchmark::State& state)
{
    const auto instances = static_cast<double>(state.range(0));
    for (auto _ : state) {
        state.PauseTiming();
        gossip_fleet fleet(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
        fleet.run(warmUp);
        fleet.resetCounters();
        state.ResumeTiming();
        fleet.run(measured);
        const double nodeSeconds = instances * static_cast<double>(measured.count());
        state.counters["bytes_per_s_node"] = fleet.bytes() / nodeSeconds;
        state.counters["messages_per_s_node"] = fleet.messages() / nodeSeconds;
        state.counters["cpu_s_per_node_s"] = benchmark::Counter(nodeSeconds,
            static_cast<benchmark::Counter::Flags>(
                benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert));
    }
}
BENCHMARK(steadyGossip)
    ->Args({ 9, 6 })
    ->Args({ 30, 6 })
    ->Args({ 100, 9 })
    ->Args({ 300, 15 })
    ->Args({ 840, 27 })
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

} // namespace

} // namespace flamingoroute

BENCHMARK_MAIN();
