#include "flamingoroute/admin/client/ctl_results.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

#include <ostream>
#include <thread>

namespace flamingoroute {

namespace {

constexpr milliseconds pollInterval { 100 };

/// @return the names of the failure domains that have not confirmed the revision, each after a space
std::string unconfirmedDomains(const Poco::JSON::Object::Ptr& status, std::int64_t revision)
{
    std::string names;
    const auto domains = status->getArray("failure_domains");
    for (std::size_t i = 0; !domains.isNull() && i < domains->size(); ++i) {
        const auto domain = domains->getObject(static_cast<unsigned>(i));
        if (domain->optValue<std::int64_t>("revision", 0) < revision)
            names += " " + domain->optValue<std::string>("name", "?");
    }
    return names;
}

} // namespace

exit_code reportError(ctl_context& context, const error& failure)
{
    if (context.options.isJson) {
        Poco::JSON::Object::Ptr body(new Poco::JSON::Object);
        body->set("error", toString(failure.code));
        body->set("step", failure.step);
        body->set("peer", failure.peer);
        body->set("detail", failure.detail);
        context.out << toJsonText(body) << "\n";
    }
    context.progress << "flamingoctl: " << describe(failure) << "\n";
    if (failure.code == error_code::conflict)
        return exit_code::conflict;
    const bool isUnreachable = failure.code == error_code::unavailable || failure.code == error_code::outcome_unknown
        || failure.code == error_code::timeout;
    return isUnreachable ? exit_code::unavailable : exit_code::refused;
}

void printResult(ctl_context& context, const Poco::JSON::Object::Ptr& json, const std::string& text)
{
    if (context.options.isJson)
        context.out << toJsonText(json) << "\n";
    else
        context.out << text;
}

exit_code waitUntilActive(ctl_context& context, std::int64_t revision)
{
    const auto startedAt = monotonicNow();
    std::string missing = " all";
    while (monotonicNow() - startedAt < context.options.wait) {
        const auto status = context.client.query("status");
        if (status)
            missing = unconfirmedDomains(*status, revision);
        if (status && missing.empty()) {
            const auto took = std::chrono::duration_cast<milliseconds>(monotonicNow() - startedAt);
            context.progress << "revision " << revision << " is active everywhere after " << took.count() << " ms\n";
            return exit_code::done;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    context.progress << "revision " << revision << " is accepted, but not confirmed by:" << missing << "\n";
    return exit_code::timeout;
}

} // namespace flamingoroute
