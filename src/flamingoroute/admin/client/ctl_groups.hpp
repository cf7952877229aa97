#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_GROUPS_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_GROUPS_HPP

#include "flamingoroute/admin/client/ctl_command.hpp"

#include <vector>

namespace flamingoroute {

/// @return check, diff, publish, get, list, put and delete
std::vector<ctl_command> objectCommands();

/// @return key issue and key withdraw
std::vector<ctl_command> keyCommands();

/// @return move start, move status and move take-back
std::vector<ctl_command> moveCommands();

/// @return status, drain, report burn and trace
std::vector<ctl_command> statusCommands();

} // namespace flamingoroute

#endif
