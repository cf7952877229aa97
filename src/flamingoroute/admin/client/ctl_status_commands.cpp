#include "flamingoroute/admin/client/ctl_groups.hpp"
#include "flamingoroute/admin/client/ctl_results.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include <fstream>
#include <ostream>

namespace flamingoroute {

namespace {

using line_writer = std::function<std::string(const Poco::JSON::Object::Ptr& entry)>;

std::string textOf(const Poco::JSON::Object::Ptr& entry, const std::string& field)
{
    return entry->has(field) ? entry->get(field).convert<std::string>() : "";
}

std::string section(const Poco::JSON::Object::Ptr& status, const std::string& field, const line_writer& write)
{
    std::string text = field + ":\n";
    const auto list = status->getArray(field);
    for (std::size_t i = 0; !list.isNull() && i < list->size(); ++i)
        text += "  " + write(list->getObject(static_cast<unsigned>(i))) + "\n";
    return text;
}

exit_code runStatus(ctl_context& context)
{
    const auto status = context.client.query("status");
    if (!status)
        return reportError(context, status.error());
    std::string text = "revision " + textOf(*status, "revision") + "\n";
    text += section(*status, "failure_domains", [](const auto& entry) {
        return textOf(entry, "name") + ": revision " + textOf(entry, "revision") + ", " + textOf(entry, "instances")
            + " instances";
    });
    text += section(*status, "instances", [](const auto& entry) {
        return textOf(entry, "instance") + " in " + textOf(entry, "failure_domain") + ": " + textOf(entry, "state")
            + ", revision " + textOf(entry, "revision");
    });
    text += section(*status, "leases", [](const auto& entry) {
        return textOf(entry, "name") + ": held by " + textOf(entry, "holder") + ", epoch " + textOf(entry, "epoch");
    });
    printResult(context, *status, text);
    return exit_code::done;
}

exit_code runDrain(ctl_context& context)
{
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("upstream", context.arguments[0]);
    const auto answer = context.client.command("drain", body);
    if (!answer)
        return reportError(context, answer.error());
    const auto number = (*answer)->getValue<std::int64_t>("revision");
    printResult(context, *answer,
        context.arguments[0] + " receives no new requests as of revision " + std::to_string(number) + "\n");
    return waitUntilActive(context, number);
}

exit_code runBurn(ctl_context& context)
{
    const std::string format = context.options.isJson ? "json" : "text";
    const auto report = context.client.queryText("burn", "format=" + format);
    if (!report)
        return reportError(context, report.error());
    context.out << *report;
    if (context.options.html.empty())
        return exit_code::done;
    const auto page = context.client.queryText("burn", "format=html");
    if (!page)
        return reportError(context, page.error());
    std::ofstream file(context.options.html);
    file << *page;
    file.close();
    if (!file)
        return reportError(
            context, error { error_code::unavailable, "report.write", context.options.html, "cannot be written" });
    context.progress << "page written to " << context.options.html << "\n";
    return exit_code::done;
}

exit_code runTrace(ctl_context& context)
{
    std::string target;
    Poco::URI::encode(context.arguments[1], "?&=#+", target);
    const auto answer = context.client.query("trace", "method=" + context.arguments[0] + "&target=" + target);
    if (!answer)
        return reportError(context, answer.error());
    std::string text;
    const auto steps = (*answer)->getArray("steps");
    for (std::size_t i = 0; !steps.isNull() && i < steps->size(); ++i) {
        const auto step = steps->getObject(static_cast<unsigned>(i));
        text += textOf(step, "step") + ": " + textOf(step, "finding") + "\n";
    }
    printResult(context, *answer, text);
    return exit_code::done;
}

} // namespace

std::vector<ctl_command> statusCommands()
{
    return {
        { "status", "", "revision by failure domain, instances, leases", 0, runStatus },
        { "drain", "UPSTREAM", "stop sending new requests to an upstream", 1, runDrain },
        { "report burn", "", "service-level burn, least budget left first", 0, runBurn },
        { "trace", "METHOD TARGET", "show how a request would be routed, and why", 2, runTrace },
    };
}

} // namespace flamingoroute
