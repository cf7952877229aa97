#include "flamingoroute/admin/client/ctl_groups.hpp"
#include "flamingoroute/admin/client/ctl_results.hpp"

#include <ostream>

namespace flamingoroute {

namespace {

exit_code runIssue(ctl_context& context)
{
    if (context.options.customer.empty()) {
        context.progress << "usage: flamingoctl key issue NAME --customer=CUSTOMER\n";
        return exit_code::usage;
    }
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("name", context.arguments[0]);
    body->set("customer", context.options.customer);
    const auto answer = context.client.command("key-issue", body);
    if (!answer)
        return reportError(context, answer.error());
    const auto key = (*answer)->getValue<std::string>("key");
    printResult(context, *answer, "key " + key + "\nThe key is shown only once; only its hash is stored.\n");
    return waitUntilActive(context, (*answer)->getValue<std::int64_t>("revision"));
}

exit_code runWithdraw(ctl_context& context)
{
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("name", context.arguments[0]);
    const auto answer = context.client.command("key-withdraw", body);
    if (!answer)
        return reportError(context, answer.error());
    const auto number = (*answer)->getValue<std::int64_t>("revision");
    printResult(context, *answer, "withdrawn with revision " + std::to_string(number) + "\n");
    return waitUntilActive(context, number);
}

} // namespace

std::vector<ctl_command> keyCommands()
{
    return {
        { "key issue", "NAME", "generate a key for --customer and show it once", 1, runIssue },
        { "key withdraw", "NAME", "withdraw a key and wait until the withdrawal is active everywhere", 1, runWithdraw },
    };
}

} // namespace flamingoroute
