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
    /// @param where the admin address
    /// @param token the operator's token
    admin_client(endpoint where, std::string token);

    /// Runs a command.
    /// @return its answer, or the error that the system or the connection gave; the outcome of a command whose
    /// answer was lost is `outcome_unknown`
    tl::expected<Poco::JSON::Object::Ptr, error> command(
        const std::string& name, const Poco::JSON::Object::Ptr& body) const;

    /// Runs a query.
    /// @param parameters already encoded, "a=b&c=d", or empty
    tl::expected<Poco::JSON::Object::Ptr, error> query(
        const std::string& name, const std::string& parameters = "") const;

    /// @return the answer as text, for queries that render pages
    tl::expected<std::string, error> queryText(const std::string& name, const std::string& parameters = "") const;

private:
    tl::expected<std::string, error> call(
        const std::string& method, const std::string& path, const std::string& body) const;

    endpoint m_where;
    std::string m_token;
};

} // namespace flamingoroute

#endif
