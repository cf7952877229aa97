#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_RESULTS_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_RESULTS_HPP

#include "flamingoroute/admin/client/ctl_context.hpp"
#include "flamingoroute/admin/client/exit_code.hpp"

namespace flamingoroute {

/// Prints an error for people, or as JSON if wished.
/// @return the exit code that stands for it
exit_code reportError(ctl_context& context, const error& failure);

/// Prints JSON as it is if wished, else the text.
void printResult(ctl_context& context, const Poco::JSON::Object::Ptr& json, const std::string& text);

/// Waits until each failure domain that answers has the revision in force, with progress.
/// @return `timeout` if a failure domain has not confirmed by then; its name is printed
exit_code waitInForce(ctl_context& context, std::int64_t revision);

} // namespace flamingoroute

#endif
