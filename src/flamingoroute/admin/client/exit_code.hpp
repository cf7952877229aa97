#ifndef FLAMINGOROUTE_ADMIN_CLIENT_EXIT_CODE_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_EXIT_CODE_HPP

namespace flamingoroute {

/// The exit codes of the programs.
enum class exit_code {
    done = 0,
    refused = 1, ///< the objects have problems, or the server rejected the call
    usage = 2, ///< the command line or a settings file is invalid
    unavailable = 3, ///< an address cannot be used, or no answer was received
    conflict = 4, ///< a concurrent change by another operator came first
    timeout = 5, ///< accepted, but not confirmed everywhere within the wait time
};

} // namespace flamingoroute

#endif
