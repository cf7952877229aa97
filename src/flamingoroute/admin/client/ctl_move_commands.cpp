#include "flamingoroute/admin/client/ctl_groups.hpp"
#include "flamingoroute/admin/client/ctl_results.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

#include <ostream>

namespace flamingoroute {

namespace {

exit_code runStart(ctl_context& context)
{
    const auto& options = context.options;
    if (options.service.empty() || options.from.empty() || options.to.empty() || options.finishBy.empty()) {
        context.progress << "usage: flamingoctl move start NAME --service=S --from=VERSION --to=VERSION "
                            "--finish_by=TIME [--cap_percent=N]\n";
        return exit_code::usage;
    }
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("name", context.arguments[0]);
    body->set("service", options.service);
    body->set("from", options.from);
    body->set("to", options.to);
    body->set("finish_by", options.finishBy);
    body->set("cap_percent", options.capPercent);
    const auto answer = context.client.command("move-start", body);
    if (!answer)
        return reportError(context, answer.error());
    const auto number = (*answer)->getValue<std::int64_t>("revision");
    printResult(context, *answer, "accepted with revision " + std::to_string(number) + "\n");
    return waitUntilActive(context, number);
}

exit_code runStatus(ctl_context& context)
{
    const auto answer = context.client.query("objects", "kind=move");
    if (!answer)
        return reportError(context, answer.error());
    std::string text;
    const auto moves = (*answer)->getArray("objects");
    for (std::size_t i = 0; !moves.isNull() && i < moves->size(); ++i) {
        const auto move = moves->getObject(static_cast<unsigned>(i));
        text += move->optValue<std::string>("name", "") + ": " + move->optValue<std::string>("phase", "waiting") + ", "
            + std::to_string(move->optValue<int>("share_percent", 0)) + " % on " + move->optValue<std::string>("to", "")
            + ", finish by " + move->optValue<std::string>("finish_by", "");
        const auto reason = move->optValue<std::string>("reason", "");
        text += reason.empty() ? "\n" : " (" + reason + ")\n";
    }
    printResult(context, *answer, text.empty() ? "no moves\n" : text);
    return exit_code::done;
}

exit_code runRollback(ctl_context& context)
{
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("name", context.arguments[0]);
    const auto answer = context.client.command("move-take-back", body);
    if (!answer)
        return reportError(context, answer.error());
    const auto number = (*answer)->getValue<std::int64_t>("revision");
    printResult(context, *answer, "rollback accepted with revision " + std::to_string(number) + "\n");
    return waitUntilActive(context, number);
}

} // namespace

std::vector<ctl_command> moveCommands()
{
    return {
        { "move start", "NAME", "move a service to another version by a deadline", 1, runStart },
        { "move status", "", "show the progress of each move, and why it is done or rolled back", 0, runStatus },
        { "move take-back", "NAME", "roll a move back", 1, runRollback },
    };
}

} // namespace flamingoroute
