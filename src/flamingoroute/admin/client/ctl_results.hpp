#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_RESULTS_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_RESULTS_HPP

#include "flamingoroute/admin/client/ctl_context.hpp"
#include "flamingoroute/admin/client/exit_code.hpp"

namespace flamingoroute {

/// Prints an error as text, and also as JSON if JSON output is requested.
/// @return the exit code for the error
exit_code reportError(ctl_context& context, const error& failure);

/// Prints @p json if JSON output is requested, else @p text.
void printResult(ctl_context& context, const Poco::JSON::Object::Ptr& json, const std::string& text);

/// Waits until the revision is active in each failure domain of the status report, and prints the time it took.
/// @return `timeout` if a failure domain has not confirmed within the wait time; its name is printed
exit_code waitUntilActive(ctl_context& context, std::int64_t revision);

} // namespace flamingoroute

#endif
