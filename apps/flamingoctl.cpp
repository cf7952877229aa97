#include "flamingoroute/admin/client/ctl_command.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(admin, "127.0.0.1:8081", "admin address of any instance, IP address and port");
DEFINE_string(operator_token, "", "the operator's token; default: FLAMINGO_OPERATOR_TOKEN");
DEFINE_string(output, "text", "output format, text or json");
DEFINE_int64(expected_revision, -1, "refuse the change if another revision is active; negative: any");
DEFINE_string(customer, "", "customer of a new key");
DEFINE_string(service, "", "service of a new move");
DEFINE_string(from, "", "version that a move starts from");
DEFINE_string(to, "", "target version of a move");
DEFINE_string(finish_by, "", "deadline by which a move is finished or rolled back, as in 2026-12-04T09:30:00Z");
DEFINE_int32(cap_percent, 100, "maximum share of the new version while the move runs");
DEFINE_string(html, "", "report burn: also write an HTML page to this file");
DEFINE_int32(wait_ms, 10000, "maximum time to wait until a change is active on all instances");

namespace {

flamingoroute::ctl_options optionsFromFlags()
{
    flamingoroute::ctl_options options;
    options.isJson = FLAGS_output == "json";
    options.expectedRevision = FLAGS_expected_revision;
    options.customer = FLAGS_customer;
    options.service = FLAGS_service;
    options.from = FLAGS_from;
    options.to = FLAGS_to;
    options.finishBy = FLAGS_finish_by;
    options.capPercent = FLAGS_cap_percent;
    options.html = FLAGS_html;
    options.wait = flamingoroute::milliseconds(FLAGS_wait_ms);
    return options;
}

std::string tokenFromFlags()
{
    const char* fromEnvironment = std::getenv("FLAMINGO_OPERATOR_TOKEN");
    if (!FLAGS_operator_token.empty() || fromEnvironment == nullptr)
        return FLAGS_operator_token;
    return fromEnvironment;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace flamingoroute;
    gflags::SetUsageMessage(ctlUsage());
    gflags::SetVersionString(FLAMINGOROUTE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    endpoint adminAddress;
    if (!parseEndpoint(FLAGS_admin, adminAddress)) {
        std::cerr << "flamingoctl: --admin must be an IP address and a port\n";
        return static_cast<int>(exit_code::usage);
    }
    const admin_client client(adminAddress, tokenFromFlags());
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(runCtl(arguments, client, optionsFromFlags(), std::cout, std::cerr));
}
