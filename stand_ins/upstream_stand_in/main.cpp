#include "upstream_server.hpp"

#include "flamingoroute/runtime/http_host.hpp"
#include "flamingoroute/runtime/stop_signal.hpp"
#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "settings file, JSON with comments");

namespace flamingoroute::stand_ins {

namespace {

constexpr int exitSettings = 2;
constexpr int exitUnavailable = 3;

upstream_options readOptions(json_reader& reader)
{
    const int maxMs = 600000;
    upstream_options options;
    options.name = reader.requiredString("name");
    options.version = reader.requiredString("version");
    options.address = reader.requiredEndpoint("address");
    options.slots = static_cast<int>(reader.optionalInt("slots", options.slots, 1, 10000));
    options.maxConnections = static_cast<int>(reader.optionalInt("max_connections", 330, 1, 10000));
    options.serviceMs = static_cast<int>(reader.optionalInt("service_ms", options.serviceMs, 0, maxMs));
    options.connectMs = static_cast<int>(reader.optionalInt("connect_ms", 0, 0, maxMs));
    options.probeMs = static_cast<int>(reader.optionalInt("probe_ms", 0, 0, maxMs));
    options.warmUpRequests = static_cast<int>(reader.optionalInt("cold_requests", 0, 0, 1000000));
    options.warmUpMs = static_cast<int>(reader.optionalInt("cold_ms", 0, 0, maxMs));
    reader.finish();
    return options;
}

int serve(const upstream_options& options)
{
    stop_signal signal;
    upstream_server server(options);
    http_host host;
    http_host_options hostOptions;
    hostOptions.threads = options.maxConnections;
    const auto started = host.start(
        options.address, hostOptions, [&server](auto& request, auto& response) { server.handle(request, response); });
    if (!started) {
        std::cerr << describe(started.error()) << "\n";
        return exitUnavailable;
    }
    signal.wait();
    server.leave();
    const milliseconds drainTimeout { 5000 };
    host.stop(drainTimeout);
    return 0;
}

} // namespace

} // namespace flamingoroute::stand_ins

int main(int argc, char** argv)
{
    using namespace flamingoroute;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto text = readFile(FLAGS_settings);
    const auto object = text ? parseJsonObject(*text, FLAGS_settings) : tl::unexpected(text.error());
    if (!object) {
        std::cerr << describe(object.error()) << "\n";
        return stand_ins::exitSettings;
    }
    problem_list problems;
    json_reader reader(*object, FLAGS_settings, problems);
    const auto options = stand_ins::readOptions(reader);
    if (!problems.empty()) {
        std::cerr << describe(problems);
        return stand_ins::exitSettings;
    }
    return stand_ins::serve(options);
}
