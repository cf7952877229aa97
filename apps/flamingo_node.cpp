#include "flamingoroute/admin/client/exit_code.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/event_loop.hpp"
#include "flamingoroute/runtime/serving_node.hpp"
#include "platform/fleet_port_factory.hpp"
#include "platform/platform_store.hpp"
#include "platform/settings_file.hpp"

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

DEFINE_string(settings, "", "TOML settings file of the platform; default: from the platform's environment variable");
DEFINE_bool(check_settings, false, "check the settings file, print the first problem, and exit");
DEFINE_int32(metrics_port, 0, "port that serves the metrics; 0: none");
DEFINE_string(log_level, "info", "debug, info, warn or error");

namespace {

using namespace flamingoroute;

/// Larger allocations go back to the kernel when they are freed. Without a fixed threshold glibc raises it with the
/// sizes in use, and the memory of freed bodies stays with the process.
constexpr int mappedAllocationBytes = 128 << 10U;

exit_code run(const std::string& path, node_settings settings)
{
    mallopt(M_MMAP_THRESHOLD, mappedAllocationBytes);
    std::signal(SIGPIPE, SIG_IGN);
    startLogging("flamingo-node", settings.instance.value(), FLAGS_log_level);
    if (FLAGS_metrics_port > 0)
        settings.metricsAddress
            = endpoint { settings.callerAddress.address, static_cast<std::uint16_t>(FLAGS_metrics_port) };
    boost::asio::io_context loop(1);
    platform::platform_store store(loop, settings.storeAddress);
    serving_node node(
        loop, settings, platform::makeFleetPort(), store, [path] { return platform::readSettingsFile(path); });
    const auto started = node.start();
    if (!started) {
        event_line(log_level::error, "node.not_started").with(started.error());
        stopLogging();
        return exit_code::unavailable;
    }
    runEventLoop(loop);
    // Exits without destructors: closing the nng sockets waits for peers that may be unreachable, longer than the time
    // allowed for a stop.
    stopLogging();
    std::_Exit(static_cast<int>(exit_code::done));
}

} // namespace

int main(int argc, char** argv)
{
    // Until the node handles it: SIGHUP asks for settings that are read now anyway, and would end the process.
    std::signal(SIGHUP, SIG_IGN);
    gflags::SetUsageMessage("flamingo-node [--settings=FILE] [--check_settings]");
    gflags::SetVersionString(FLAMINGOROUTE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string path = FLAGS_settings.empty() ? platform::settingsPathFromEnvironment() : FLAGS_settings;
    const auto settings = platform::readSettingsFile(path);
    if (!settings) {
        std::cerr << describe(settings.error()) << '\n';
        return static_cast<int>(exit_code::usage);
    }
    if (FLAGS_check_settings) {
        std::cout << path << ": no problems\n";
        return static_cast<int>(exit_code::done);
    }
    return static_cast<int>(run(path, *settings));
}
