#include "soak/soak_run.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_uint64(seed, 0, "seed to run; 0: only those of --seeds_file and --new_seeds");
DEFINE_string(seeds_file, "", "runs the seeds of this file: one per line, followed by a note on what it found");
DEFINE_uint64(new_seeds, 0, "number of random seeds to run");
DEFINE_uint64(seconds, 20, "duration of the run of one seed; no faults in the last six seconds");
DEFINE_uint64(nodes, 5, "nodes");
DEFINE_uint64(upstreams, 9, "upstreams");
DEFINE_uint64(callers, 10, "callers");
DEFINE_bool(only_restarts, false, "nodes are stopped, killed and restarted; nothing else fails");
DEFINE_bool(restorations, false, "the store is restored from copies, beside the other faults");
DEFINE_bool(verbose, false, "prints each fault");

namespace {

using namespace flamingoroute;

std::vector<std::uint64_t> seedsOfFile(const std::string& path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::uint64_t seed = 0;
        if (std::istringstream(line) >> seed)
            seeds.push_back(seed);
    }
    return seeds;
}

bool runSeed(std::uint64_t seed)
{
    soak::soak_options options;
    options.seed = seed;
    options.duration = std::chrono::seconds(FLAGS_seconds);
    options.nodes = FLAGS_nodes;
    options.upstreams = FLAGS_upstreams;
    options.callers = FLAGS_callers;
    options.hasOnlyRestarts = FLAGS_only_restarts;
    options.hasRestorations = FLAGS_restorations;
    options.isVerbose = FLAGS_verbose;
    const auto result = soak::runSoak(options);
    std::cout << "seed " << seed << ": " << result.problems.size() << " problems; replies " << result.statuses
              << std::endl;
    constexpr std::size_t maxShown = 10;
    for (std::size_t i = 0; i < std::min(maxShown, result.problems.size()); ++i)
        std::cout << "  " << result.problems[i] << std::endl;
    return result.problems.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("flamingo-soak [--seed=N | --seeds_file=FILE] [--new_seeds=N] [--seconds=N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto seeds = seedsOfFile(FLAGS_seeds_file);
    if (FLAGS_seed != 0)
        seeds.push_back(FLAGS_seed);
    constexpr std::uint64_t seedRange = 1'000'000;
    std::random_device random;
    for (std::uint64_t i = 0; i < FLAGS_new_seeds; ++i)
        seeds.push_back(1 + random() % seedRange);
    bool areAllClean = true;
    for (const auto seed : seeds)
        areAllClean = runSeed(seed) && areAllClean;
    return areAllClean ? 0 : 1;
}
