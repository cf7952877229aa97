#include "flamingoroute/admin/client/ctl_groups.hpp"
#include "flamingoroute/admin/client/ctl_results.hpp"

#include "flamingoroute/config/configuration_checker.hpp"
#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

#include <map>
#include <ostream>

namespace flamingoroute {

namespace {

using object_texts = std::map<std::string, std::string>;

tl::expected<configuration, error> readObjects(const std::string& path)
{
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    auto objects = parseConfiguration(*text, path);
    if (!objects) {
        const std::string detail = "the objects have problems:\n" + describe(objects.error());
        return tl::unexpected(error { error_code::invalid_input, "objects.read", path, detail });
    }
    const auto problems = check(*objects);
    if (!problems.empty()) {
        const std::string detail = "the objects have problems:\n" + describe(problems);
        return tl::unexpected(error { error_code::invalid_input, "objects.check", path, detail });
    }
    return *objects;
}

object_texts textsOf(const configuration& objects)
{
    object_texts texts;
    forEachObject(objects, [&texts](const auto& kind, const auto& name, const auto& object) {
        texts[kind + "/" + name] = toJsonText(object);
    });
    return texts;
}

tl::expected<configuration, error> activeObjects(const ctl_context& context)
{
    auto answer = context.client.query("configuration");
    if (!answer)
        return tl::unexpected(answer.error());
    (*answer)->remove("revision");
    auto objects = parseConfiguration(toJsonText(*answer), "active configuration");
    if (!objects)
        return tl::unexpected(error { error_code::internal, "diff", "", describe(objects.error()) });
    return *objects;
}

exit_code runCheck(ctl_context& context)
{
    const auto objects = readObjects(context.arguments[0]);
    if (!objects)
        return reportError(context, objects.error());
    Poco::JSON::Object::Ptr json(new Poco::JSON::Object);
    json->set("objects", textsOf(*objects).size());
    const std::string count = std::to_string(textsOf(*objects).size());
    printResult(context, json, context.arguments[0] + ": " + count + " objects, no problems\n");
    return exit_code::done;
}

exit_code runDiff(ctl_context& context)
{
    const auto proposed = readObjects(context.arguments[0]);
    if (!proposed)
        return reportError(context, proposed.error());
    const auto current = activeObjects(context);
    if (!current)
        return reportError(context, current.error());
    const auto before = textsOf(*current);
    const auto after = textsOf(*proposed);
    Poco::JSON::Array::Ptr lines(new Poco::JSON::Array);
    std::string text;
    const auto add = [&](const std::string& line) {
        lines->add(line);
        text += line + "\n";
    };
    for (const auto& [name, value] : before) {
        if (after.count(name) == 0)
            add("- " + name);
    }
    for (const auto& [name, value] : after) {
        const auto old = before.find(name);
        if (old == before.end())
            add("+ " + name);
        else if (old->second != value)
            add("~ " + name + "\n    " + old->second + "\n    " + value);
    }
    Poco::JSON::Object::Ptr json(new Poco::JSON::Object);
    json->set("changes", lines);
    printResult(context, json, text.empty() ? "no difference\n" : text);
    return exit_code::done;
}

/// Runs a command that creates a revision, prints the revision and waits until it is active.
exit_code commit(ctl_context& context, const std::string& command, Poco::JSON::Object::Ptr body)
{
    if (context.options.expectedRevision >= 0)
        body->set("expected_revision", context.options.expectedRevision);
    const auto answer = context.client.command(command, body);
    if (!answer)
        return reportError(context, answer.error());
    const auto number = (*answer)->getValue<std::int64_t>("revision");
    printResult(context, *answer, "revision " + std::to_string(number) + "\n");
    return waitUntilActive(context, number);
}

exit_code runPublish(ctl_context& context)
{
    const auto objects = readObjects(context.arguments[0]);
    if (!objects)
        return reportError(context, objects.error());
    auto body = parseJsonObject(serializeConfiguration(*objects), context.arguments[0]);
    return commit(context, "publish", *body);
}

exit_code runPut(ctl_context& context)
{
    const auto text = readFile(context.arguments[0]);
    const auto file = text ? parseJsonObject(*text, context.arguments[0]) : tl::unexpected(text.error());
    if (!file)
        return reportError(context, file.error());
    Poco::JSON::Array::Ptr objects = (*file)->getArray("objects");
    if (objects.isNull()) {
        objects = new Poco::JSON::Array;
        objects->add(*file);
    }
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("put", objects);
    return commit(context, "change", body);
}

exit_code runDelete(ctl_context& context)
{
    Poco::JSON::Object::Ptr line(new Poco::JSON::Object);
    line->set("kind", context.arguments[0]);
    line->set("name", context.arguments[1]);
    Poco::JSON::Array::Ptr lines(new Poco::JSON::Array);
    lines->add(line);
    Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
    body->set("delete", lines);
    return commit(context, "change", body);
}

exit_code printObjects(ctl_context& context, const std::string& parameters)
{
    const auto answer = context.client.query("objects", parameters);
    if (!answer)
        return reportError(context, answer.error());
    std::string text;
    const auto objects = (*answer)->getArray("objects");
    for (std::size_t i = 0; !objects.isNull() && i < objects->size(); ++i)
        text += toJsonText(objects->getObject(static_cast<unsigned>(i))) + "\n";
    printResult(context, *answer, text);
    return exit_code::done;
}

exit_code runList(ctl_context& context) { return printObjects(context, "kind=" + context.arguments[0]); }

exit_code runGet(ctl_context& context)
{
    return printObjects(context, "kind=" + context.arguments[0] + "&name=" + context.arguments[1]);
}

} // namespace

std::vector<ctl_command> objectCommands()
{
    return {
        { "check", "FILE", "check a complete set of objects without publishing it", 1, runCheck },
        { "diff", "FILE", "show what publishing the set would change", 1, runDiff },
        { "publish", "FILE", "check and publish a complete set", 1, runPublish },
        { "list", "KIND", "show all objects of a kind", 1, runList },
        { "get", "KIND NAME", "show one object", 2, runGet },
        { "put", "FILE", "create or replace objects", 1, runPut },
        { "delete", "KIND NAME", "delete an object", 2, runDelete },
    };
}

} // namespace flamingoroute
