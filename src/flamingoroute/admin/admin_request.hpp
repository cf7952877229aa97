#ifndef FLAMINGOROUTE_ADMIN_ADMIN_REQUEST_HPP
#define FLAMINGOROUTE_ADMIN_ADMIN_REQUEST_HPP

#include <Poco/JSON/Object.h>

#include <map>
#include <string>

namespace flamingoroute {

/// An authenticated call of the admin API.
struct admin_request {
    std::string operatorName;
    std::string name; ///< name of the command or query
    std::map<std::string, std::string> parameters; ///< query parameters, from the URI; empty for a command
    Poco::JSON::Object::Ptr body; ///< of a command; null for a query
};

} // namespace flamingoroute

#endif
