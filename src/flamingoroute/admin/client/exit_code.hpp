#ifndef FLAMINGOROUTE_ADMIN_CLIENT_EXIT_CODE_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_EXIT_CODE_HPP

namespace flamingoroute {

/// The exit codes of the programs.
enum class exit_code {
    done = 0,
    refused = 1, ///< the objects have problems, or the system said no
    usage = 2, ///< the command line or a settings file is wrong
    unavailable = 3, ///< an address cannot be used, or nobody answered
    conflict = 4, ///< another operator was first
    timeout = 5, ///< accepted, but not confirmed everywhere in time
};

} // namespace flamingoroute

#endif
