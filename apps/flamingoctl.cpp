#include "flamingoroute/admin/client/ctl_command.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(admin, "127.0.0.1:8081", "admin address of any instance, IP number and port");
DEFINE_string(operator_token, "", "the operator's token; by default from FLAMINGO_OPERATOR_TOKEN");
DEFINE_string(output, "text", "text, or json for programs");
DEFINE_int64(expected_revision, -1, "refuse the change if another revision is in force; negative: any");
DEFINE_string(customer, "", "customer of a new key");
DEFINE_string(service, "", "service of a new move");
DEFINE_string(from, "", "version that a move leaves");
DEFINE_string(to, "", "version that a move goes to");
DEFINE_string(finish_by, "", "when a move must be done or taken back, as in 2026-12-04T09:30:00Z");
DEFINE_int32(cap_percent, 100, "the new version's share never exceeds this while the move runs");
DEFINE_string(html, "", "report burn: also write a page to this file");
DEFINE_int32(wait_ms, 10000, "how long to wait until a change is in force everywhere");

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
    endpoint where;
    if (!parseEndpoint(FLAGS_admin, where)) {
        std::cerr << "flamingoctl: --admin must be an IP number and a port\n";
        return static_cast<int>(exit_code::usage);
    }
    const admin_client client(where, tokenFromFlags());
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(runCtl(words, client, optionsFromFlags(), std::cout, std::cerr));
}
