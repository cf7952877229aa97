#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_CONTEXT_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_CONTEXT_HPP

#include "flamingoroute/admin/client/admin_client.hpp"
#include "flamingoroute/admin/client/ctl_options.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace flamingoroute {

/// The input and output of a flamingoctl command.
struct ctl_context {
    const admin_client& client;
    const ctl_options& options;
    std::vector<std::string> arguments; ///< positional arguments that follow the command's words
    std::ostream& out; ///< results
    std::ostream& progress; ///< human-readable progress and errors
};

} // namespace flamingoroute

#endif
