#ifndef FLAMINGOROUTE_ADMIN_ADMIN_REGISTRY_HPP
#define FLAMINGOROUTE_ADMIN_ADMIN_REGISTRY_HPP

#include "flamingoroute/admin/admin_answer.hpp"
#include "flamingoroute/admin/admin_request.hpp"

#include <functional>
#include <map>
#include <string>

namespace flamingoroute {

/// The handlers of the admin API by command and query name. Filled before the server starts, read-only afterwards.
class admin_registry {
public:
    using handler = std::function<admin_answer(const admin_request&)>;

    /// Adds a command: it may change state, and is called by POST /admin/v1/commands/NAME.
    void addCommand(const std::string& name, handler handle);

    /// Adds a query: it is read-only, and is called by GET /admin/v1/queries/NAME.
    void addQuery(const std::string& name, handler handle);

    /// @return the handler's answer, or a `not_found` answer if no handler has this name
    admin_answer runCommand(const admin_request& request) const;
    admin_answer runQuery(const admin_request& request) const;

private:
    using handler_map = std::map<std::string, handler>;

    static admin_answer run(const handler_map& handlers, const char* kind, const admin_request& request);

    handler_map m_commands;
    handler_map m_queries;
};

} // namespace flamingoroute

#endif
