#include "load_run.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(targets, "127.0.0.1:8001", "addresses on this machine, separated by commas");
DEFINE_string(method, "GET", "HTTP method");
DEFINE_string(path, "/", "path and query");
DEFINE_string(key, "", "sent as X-Api-Key");
DEFINE_string(body, "", "body of each request");
DEFINE_int32(connections, 8, "connections, one thread each");
DEFINE_double(
    rate, 0, "requests per second over all connections; 0: each connection sends its next request on each answer");
DEFINE_int32(seconds, 5, "duration, at most 120");
DEFINE_bool(numbered, false, "number the requests, so that upstream stand-ins count the runs of each");
DEFINE_string(output, "text", "text or json");

namespace {

constexpr int exitUsage = 2;
constexpr int maxSeconds = 120;
constexpr int maxConnections = 1000;

bool readTargets(std::vector<flamingoroute::endpoint>& targets)
{
    std::istringstream words(FLAGS_targets);
    std::string word;
    while (std::getline(words, word, ',')) {
        flamingoroute::endpoint target;
        if (!flamingoroute::parseEndpoint(word, target) || target.address.compare(0, 4, "127.") != 0)
            return false;
        targets.push_back(target);
    }
    return !targets.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("load_tool --targets=IP:PORT,... --path=PATH [FLAGS]: load on this machine's loopback");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoroute::bench::load_options options;
    const bool isInBounds = FLAGS_seconds >= 1 && FLAGS_seconds <= maxSeconds && FLAGS_connections >= 1
        && FLAGS_connections <= maxConnections;
    if (!readTargets(options.targets) || !isInBounds) {
        std::cerr << "load_tool: --targets must be loopback addresses, --seconds 1 to 120, --connections 1 to 1000\n";
        return exitUsage;
    }
    options.method = FLAGS_method;
    options.path = FLAGS_path;
    options.body = FLAGS_body;
    options.connections = FLAGS_connections;
    options.requestsPerSecond = FLAGS_rate;
    options.duration = flamingoroute::seconds(FLAGS_seconds);
    options.isNumbered = FLAGS_numbered;
    if (!FLAGS_key.empty())
        options.headers.push_back({ "X-Api-Key", FLAGS_key });
    const auto result = flamingoroute::bench::runLoad(options);
    std::cout << (FLAGS_output == "json" ? result.toJson() : result.toText());
    return 0;
}
