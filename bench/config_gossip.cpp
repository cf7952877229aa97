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
constexpr seconds measurementDuration { 20 };
constexpr milliseconds tickInterval { 100 };

/// Simulates both processes of each instance: the real membership and replica code on a virtual clock and a network
/// without latency. Every heartbeat and offer is encoded as on the wire.
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
        for (auto& participant : m_processes)
            announceAllMembers(participant);
    }

    void run(seconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tickInterval) {
            for (auto& participant : m_processes) {
                send(participant, participant.group->onTick(m_now));
                send(participant, participant.replica->onTick(m_now));
            }
            deliver();
        }
    }

    void resetCounters() { m_bytes = m_messages = 0; }
    double bytes() const { return static_cast<double>(m_bytes); }
    double messages() const { return static_cast<double>(m_messages); }

private:
    struct process {
        std::size_t instanceIndex = 0;
        process_role role = process_role::entry;
        std::unique_ptr<membership> group;
        std::unique_ptr<config_replica> replica;
    };

    struct queued_message {
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

    void addProcess(std::size_t instanceIndex, process_role role)
    {
        const auto randomIndex = [this](std::size_t bound) { return m_random() % bound; };
        auto& participant = m_processes.emplace_back();
        participant.instanceIndex = instanceIndex;
        participant.role = role;
        participant.group
            = std::make_unique<membership>(m_members[instanceIndex], role, 1, membership_settings {}, randomIndex);
        participant.group->addSeeds(m_members);
        participant.group->setLocalState(7, false, milliseconds { 300 });
        participant.replica = std::make_unique<config_replica>(replica_settings {}, m_now, randomIndex);
        replica_peers peers;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            if (i != instanceIndex && m_members[i].failureDomain == m_members[instanceIndex].failureDomain)
                peers.local.push_back({ m_members[i].instance, role });
        }
        if (participant.group->isBridge(m_now)) {
            for (const auto& bridge : participant.group->remoteBridges(m_now))
                peers.remote.push_back({ bridge, role });
        }
        participant.replica->setPeers(peers);
    }

    /// Delivers a heartbeat with all members as live, so that a process starts in the steady state.
    void announceAllMembers(process& participant)
    {
        heartbeat body;
        for (const auto& known : m_members) {
            body.records.push_back(recordOf(known));
            body.records.back().entryIncarnation = 1;
        }
        const auto& sender = m_members[(participant.instanceIndex + 1) % m_members.size()];
        participant.group->onHeartbeat(sender.instance, process_role::control, 1, body, m_now);
    }

    std::size_t indexOf(const instance_id& instance, process_role role) const
    {
        const auto instanceIndex = std::stoul(instance.value().substr(instance.value().find('-') + 1));
        return instanceIndex * 2 + (role == process_role::entry ? 0 : 1);
    }

    void enqueue(const process& from, const instance_id& to, process_role role, message_kind kind, std::string body)
    {
        const envelope message { m_members[from.instanceIndex].instance, from.role, 1, ++m_sequence, kind,
            std::move(body) };
        const bool isLoopback = to == m_members[from.instanceIndex].instance;
        if (!isLoopback) {
            m_bytes += encodeEnvelope(message).size();
            ++m_messages;
        }
        m_queue.push_back({ indexOf(to, role), message });
    }

    void send(const process& from, const std::vector<heartbeat_message>& messages)
    {
        for (const auto& heartbeatMessage : messages)
            enqueue(from, heartbeatMessage.to, heartbeatMessage.role, message_kind::heartbeat,
                packMessage(heartbeatMessage.body));
    }

    void send(const process& from, const replica_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* offer = std::get_if<send_offer>(&action))
                enqueue(
                    from, offer->to.instance, offer->to.role, message_kind::config_offer, packMessage(offer->offer));
        }
    }

    void deliver()
    {
        while (!m_queue.empty()) {
            const queued_message next = std::move(m_queue.front());
            m_queue.pop_front();
            auto& receiver = m_processes[next.to];
            if (next.message.kind == message_kind::heartbeat) {
                send(receiver,
                    receiver.group->onHeartbeat(next.message.from, next.message.role, 1,
                        unpackMessage<heartbeat>(next.message.body).value(), m_now));
            } else {
                send(receiver,
                    receiver.replica->onOffer({ next.message.from, next.message.role },
                        unpackMessage<config_offer>(next.message.body).value(), m_now));
            }
        }
    }

    std::mt19937_64 m_random { 1 };
    monotonic_time m_now { seconds { 100 } };
    std::vector<member> m_members;
    std::deque<process> m_processes;
    std::deque<queued_message> m_queue;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_messages = 0;
};

/// Arguments: instances, failure domains. Counters are per instance (sum of both processes) and count sent bytes only.
void steadyGossip(benchmark::State& state)
{
    const auto instances = static_cast<double>(state.range(0));
    for (auto _ : state) {
        state.PauseTiming();
        gossip_fleet fleet(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
        fleet.run(warmUp);
        fleet.resetCounters();
        state.ResumeTiming();
        fleet.run(measurementDuration);
        const double nodeSeconds = instances * static_cast<double>(measurementDuration.count());
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
