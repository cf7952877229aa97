#ifndef FLAMINGOROUTE_ADMIN_CLIENT_ADMIN_CLIENT_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_ADMIN_CLIENT_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <Poco/JSON/Object.h>
#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// Calls the admin API of one instance.
class admin_client {
public:
    /// @param adminAddress address of the instance's admin API
    /// @param token the operator's token
    admin_client(endpoint adminAddress, std::string token);

    /// Runs a command.
    /// @return its answer, or the error from the server or the connection; `outcome_unknown` if the command was sent
    /// but its answer was not received
    tl::expected<Poco::JSON::Object::Ptr, error> command(
        const std::string& name, const Poco::JSON::Object::Ptr& body) const;

    /// Runs a query.
    /// @param parameters URI-encoded as "a=b&c=d", or empty
    tl::expected<Poco::JSON::Object::Ptr, error> query(
        const std::string& name, const std::string& parameters = "") const;

    /// @return the answer as text, for queries that render pages
    tl::expected<std::string, error> queryText(const std::string& name, const std::string& parameters = "") const;

private:
    tl::expected<std::string, error> call(
        const std::string& method, const std::string& path, const std::string& body) const;

    endpoint m_endpoint;
    std::string m_token;
};

} // namespace flamingoroute

#endif
