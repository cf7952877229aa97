#ifndef FLAMINGOROUTE_ADMIN_ADMIN_REQUEST_HPP
#define FLAMINGOROUTE_ADMIN_ADMIN_REQUEST_HPP

#include <Poco/JSON/Object.h>

#include <map>
#include <string>

namespace flamingoroute {

/// A call of the admin API, after its operator is known.
struct admin_request {
    std::string operatorName;
    std::string name; ///< of the command or query
    std::map<std::string, std::string> parameters; ///< of a query, from its URI
    Poco::JSON::Object::Ptr body; ///< of a command
};

} // namespace flamingoroute

#endif
