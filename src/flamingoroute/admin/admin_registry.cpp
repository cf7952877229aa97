#include "flamingoroute/admin/admin_registry.hpp"

namespace flamingoroute {

void admin_registry::addCommand(const std::string& name, handler handle) { m_commands[name] = std::move(handle); }

void admin_registry::addQuery(const std::string& name, handler handle) { m_queries[name] = std::move(handle); }

admin_answer admin_registry::runCommand(const admin_request& request) const
{
    return run(m_commands, "command", request);
}

admin_answer admin_registry::runQuery(const admin_request& request) const { return run(m_queries, "query", request); }

admin_answer admin_registry::run(const handler_map& handlers, const char* kind, const admin_request& request)
{
    const auto found = handlers.find(request.name);
    if (found == handlers.end()) {
        return answerWith(error { error_code::not_found, std::string("admin.") + kind, request.operatorName,
            "no " + std::string(kind) + " is named " + request.name });
    }
    return found->second(request);
}

} // namespace flamingoroute
