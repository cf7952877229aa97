#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_CONTEXT_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_CONTEXT_HPP

#include "flamingoroute/admin/client/admin_client.hpp"
#include "flamingoroute/admin/client/ctl_options.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace flamingoroute {

/// What a command of flamingoctl works with.
struct ctl_context {
    const admin_client& client;
    const ctl_options& options;
    std::vector<std::string> arguments; ///< after the command's own words
    std::ostream& out; ///< results
    std::ostream& progress; ///< progress and errors, for people
};

} // namespace flamingoroute

#endif
