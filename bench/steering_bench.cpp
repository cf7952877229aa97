#include "flamingoroute/steering/lookup_table.hpp"
#include "flamingoroute/steering/upstream_pool.hpp"

#include <benchmark/benchmark.h>

#include <random>

namespace flamingoroute {

namespace {

constexpr int blockCount = 140'000;
constexpr int memberCount = 840;
constexpr int regionCount = 7;
constexpr int domainCount = 27;

std::string blockRange(int index)
{
    return std::to_string(1 + index / 65536) + "." + std::to_string(index / 256 % 256) + "."
        + std::to_string(index % 256) + ".0/24";
}

configuration fullConfiguration()
{
    configuration current;
    for (int r = 0; r < regionCount; ++r) {
        region newRegion { region_id("r" + std::to_string(r)), {} };
        for (int other = 0; other < r; ++other)
            newRegion.links.push_back({ region_id("r" + std::to_string(other)), milliseconds(20 * (r - other)), 1000 });
        current.regions.push_back(newRegion);
    }
    for (int i = 0; i < blockCount; ++i)
        current.clientBlocks.push_back(
            { "b" + std::to_string(i), blockRange(i), current.regions[i % regionCount].name });
    return current;
}

std::vector<member> members()
{
    std::vector<member> result(memberCount);
    for (int i = 0; i < memberCount; ++i) {
        const int domain = i % domainCount;
        result[i].instance = instance_id("instance-" + std::to_string(i));
        result[i].failureDomain = failure_domain_id("domain-" + std::to_string(domain));
        result[i].region = region_id("r" + std::to_string(domain % regionCount));
    }
    return result;
}

void lookUp(benchmark::State& state)
{
    static const lookup_table table(fullConfiguration(), members(), region_id("r0"));
    std::mt19937 generator(1);
    std::vector<std::string> callers;
    for (int i = 0; i < 4096; ++i) {
        const auto range = blockRange(static_cast<int>(generator() % blockCount));
        callers.push_back(range.substr(0, range.rfind('.')) + ".7");
    }
    std::size_t next = 0;
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(table.lookup(callers[next++ % callers.size()]));
    }
}

void findRegion(benchmark::State& state)
{
    static const lookup_table table(fullConfiguration(), members(), region_id("r0"));
    std::mt19937 generator(1);
    std::vector<std::string> callers;
    for (int i = 0; i < 4096; ++i) {
        const auto range = blockRange(static_cast<int>(generator() % blockCount));
        callers.push_back(range.substr(0, range.rfind('.')) + ".7");
    }
    std::size_t next = 0;
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(&table.regionOf(callers[next++ % callers.size()]));
    }
}

void buildTable(benchmark::State& state)
{
    const auto current = fullConfiguration();
    const auto live = members();
    for (auto step : state) {
        static_cast<void>(step);
        const lookup_table table(current, live, region_id("r0"));
        benchmark::DoNotOptimize(&table);
    }
}

/// @param state range(0): upstreams of the service in the local failure domain; range(1): in others
void acquireAndRelease(benchmark::State& state)
{
    auto current = std::make_shared<configuration>();
    for (int i = 0; i < state.range(0) + state.range(1); ++i) {
        upstream target;
        target.name = upstream_id("u" + std::to_string(i));
        target.service = service_id("desk");
        target.version = version_id("v1");
        target.failureDomain = failure_domain_id(i < state.range(0) ? "d0" : "d" + std::to_string(1 + i % 26));
        target.slots = 6;
        current->upstreams.push_back(target);
    }
    static std::shared_ptr<upstream_pool> pool;
    if (state.thread_index() == 0) {
        pool = std::make_shared<upstream_pool>(
            steering_identity { instance_id("i"), 1, failure_domain_id("d0"), region_id("r") });
        pool->adopt(current);
        pool->beginAllocating({ 1, true, {} });
    }
    upstream_requirements requirements;
    requirements.service = service_id("desk");
    requirements.version = version_id("v1");
    attempt_result result;
    result.outcome = attempt_outcome::answered;
    result.duration = milliseconds(10);
    for (auto step : state) {
        static_cast<void>(step);
        requirements.deadline = monotonicNow() + seconds(5);
        const auto chosen = pool->acquire(requirements);
        if (chosen)
            pool->release(*chosen, result);
    }
}

BENCHMARK(findRegion);
BENCHMARK(lookUp);
BENCHMARK(buildTable)->Unit(benchmark::kMillisecond);
BENCHMARK(acquireAndRelease)->Args({ 2, 10 })->Args({ 8, 192 });
BENCHMARK(acquireAndRelease)->Args({ 2, 10 })->Threads(4);

} // namespace

} // namespace flamingoroute

BENCHMARK_MAIN();
