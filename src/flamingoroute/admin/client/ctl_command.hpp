#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_COMMAND_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_COMMAND_HPP

#include "flamingoroute/admin/client/ctl_context.hpp"
#include "flamingoroute/admin/client/exit_code.hpp"

#include <functional>
#include <string>
#include <vector>

namespace flamingoroute {

/// A command of flamingoctl.
struct ctl_command {
    std::string words; ///< for example "key issue"
    std::string arguments; ///< for the help, for example "NAME"
    std::string help; ///< one line
    std::size_t argumentCount = 0;
    std::function<exit_code(ctl_context&)> run;
};

/// @return all commands, in the order of the help
const std::vector<ctl_command>& ctlCommands();

/// Finds the command that @p words select and runs it; an invalid call prints the usage.
/// @param words the positional arguments of the command line
exit_code runCtl(const std::vector<std::string>& words, const admin_client& client, const ctl_options& options,
    std::ostream& out, std::ostream& progress);

/// @return the usage of every command
std::string ctlUsage();

} // namespace flamingoroute

#endif
