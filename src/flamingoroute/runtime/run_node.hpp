#ifndef FLAMINGOROUTE_RUNTIME_RUN_NODE_HPP
#define FLAMINGOROUTE_RUNTIME_RUN_NODE_HPP

#include "flamingoroute/admin/client/exit_code.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/stop_signal.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <iostream>
#include <string>

namespace flamingoroute {

/// Main function of a daemon: reads the settings, starts the node, waits for SIGTERM or SIGINT, and stops it.
/// @tparam Node entry_node or control_node
/// @param program name of the program in logs
/// @param settingsFile path of the settings
/// @param isCheckOnly only check the settings and print the problems
template <typename Node>
exit_code runNode(const std::string& program, const std::string& settingsFile, bool isCheckOnly)
{
    const auto settings = readInstanceSettings(settingsFile);
    if (!settings) {
        std::cerr << describe(settings.error());
        return exit_code::usage;
    }
    if (isCheckOnly) {
        std::cout << settingsFile << ": no problems\n";
        return exit_code::done;
    }
    stop_signal signal;
    startLogging(program, settings->self.instance.value(), settings->logLevel);
    Node node(*settings);
    const auto started = node.start();
    if (!started) {
        event_line(log_level::error, "start.failed").with(started.error());
        stopLogging();
        return exit_code::unavailable;
    }
    signal.wait();
    node.stop();
    stopLogging();
    return exit_code::done;
}

} // namespace flamingoroute

#endif
