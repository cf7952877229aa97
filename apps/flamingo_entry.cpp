#include "flamingoroute/runtime/entry_node.hpp"
#include "flamingoroute/runtime/run_node.hpp"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file of the instance, JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file, print all problems, and exit");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("flamingo-entry --settings=FILE [--check_settings]");
    gflags::SetVersionString(FLAMINGOROUTE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto code
        = flamingoroute::runNode<flamingoroute::entry_node>("flamingo-entry", FLAGS_settings, FLAGS_check_settings);
    return static_cast<int>(code);
}
