#include "flamingoroute/config/config_chunks.hpp"
#include "flamingoroute/config/config_replica.hpp"
#include "flamingoroute/config/configuration_checker.hpp"
#include "flamingoroute/keys/key_authenticator.hpp"

#include <benchmark/benchmark.h>

namespace flamingoroute {

namespace {

const config_source peer { instance_id("peer"), process_role::control };
const monotonic_time start { seconds { 100 } };

struct published {
    config_chunks chunks;
    std::string head;
    config_position position;
};

configuration blocks(std::int64_t count)
{
    configuration objects;
    for (int i = 0; i < 7; ++i)
        objects.regions.push_back({ region_id("region-" + std::to_string(i)), {} });
    for (std::int64_t i = 0; i < count; ++i) {
        const auto digits = std::to_string(1'000'000 + i);
        const std::string range = "10." + std::to_string(i >> 16) + "." + std::to_string(i >> 8 & 255) + "."
            + std::to_string(i & 255) + "/32";
        objects.clientBlocks.push_back({ "block-" + digits, range, region_id("region-" + std::to_string(i % 7)) });
    }
    return objects;
}

published publish(const configuration& objects, revision number, const std::vector<bucket_list>& previous)
{
    published result;
    result.chunks = splitIntoChunks(objects, previous);
    config_head head;
    head.number = number;
    head.publication = publication_id { number, "bench", number };
    head.buckets = result.chunks.buckets;
    result.head = encodeHead(head);
    result.position = positionOf(head, result.head);
    return result;
}

std::size_t adopt(config_replica& replica, const published& from)
{
    std::size_t bytes = from.head.size();
    auto actions = replica.onOffer(peer, config_offer { from.position, false }, start);
    actions = replica.onContent(from.position.hash, from.head, start);
    while (!actions.empty()) {
        replica_actions next;
        for (const auto& action : actions) {
            const auto* fetch = std::get_if<fetch_chunks>(&action);
            for (std::size_t i = 0; fetch && i < fetch->hashes.size(); ++i) {
                const auto& content = from.chunks.contents.at(fetch->hashes[i]);
                bytes += content.size();
                const auto more = replica.onContent(fetch->hashes[i], content, start);
                next.insert(next.end(), more.begin(), more.end());
            }
        }
        actions = next;
    }
    return bytes;
}

config_replica makeReplica()
{
    return config_replica({}, start, [](std::size_t) { return std::size_t { 0 }; });
}

void adoptOneChange(benchmark::State& state)
{
    auto objects = blocks(state.range(0));
    auto latest = publish(objects, 1, {});
    auto replica = makeReplica();
    adopt(replica, latest);
    std::size_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        objects.clientBlocks[objects.clientBlocks.size() / 2].region
            = region_id("region-" + std::to_string(latest.position.number % 7));
        latest = publish(objects, latest.position.number + 1, latest.chunks.buckets);
        state.ResumeTiming();
        bytes = adopt(replica, latest);
    }
    state.counters["chunks"] = static_cast<double>(latest.chunks.contents.size());
    state.counters["bytes_fetched"] = static_cast<double>(bytes);
    state.counters["head_bytes"] = static_cast<double>(latest.head.size());
}
BENCHMARK(adoptOneChange)->Arg(1000)->Arg(10'000)->Arg(35'000)->Arg(140'000)->Unit(benchmark::kMillisecond);

void adoptWholeSet(benchmark::State& state)
{
    const auto fullSet = publish(blocks(state.range(0)), 1, {});
    std::size_t bytes = 0;
    for (auto _ : state) {
        auto replica = makeReplica();
        bytes = adopt(replica, fullSet);
    }
    state.counters["bytes_fetched"] = static_cast<double>(bytes);
}
BENCHMARK(adoptWholeSet)->Arg(10'000)->Arg(140'000)->Unit(benchmark::kMillisecond);

void checkWholeSet(benchmark::State& state)
{
    const auto objects = blocks(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(check(objects));
}
BENCHMARK(checkWholeSet)->Arg(140'000)->Unit(benchmark::kMillisecond);

void authenticateKey(benchmark::State& state)
{
    const key_hasher hasher("a pepper for the benchmark");
    auto objects = std::make_shared<configuration>();
    for (int i = 0; i < 1000; ++i) {
        const auto name = std::to_string(i);
        objects->keys.push_back({ key_id("k" + name), customer_id("c" + name), hasher.hash("secret " + name) });
    }
    key_authenticator keys(hasher, monotonicNow);
    keys.adopt(objects);
    for (auto _ : state)
        benchmark::DoNotOptimize(keys.authenticate("secret 500"));
}
BENCHMARK(authenticateKey);

} // namespace

} // namespace flamingoroute

BENCHMARK_MAIN();
