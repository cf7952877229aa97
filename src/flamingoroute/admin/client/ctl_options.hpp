#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_OPTIONS_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <string>

namespace flamingoroute {

/// The flags of flamingoctl that commands use.
struct ctl_options {
    bool isJson = false; ///< print JSON for programs
    std::int64_t expectedRevision = -1; ///< negative: whatever is in force
    std::string customer;
    std::string service;
    std::string from;
    std::string to;
    std::string finishBy; ///< RFC 3339 in UTC
    int capPercent = 100;
    std::string html; ///< file for a page, empty for none
    milliseconds wait { 10000 }; ///< how long to wait until a change is in force everywhere

    bool operator==(const ctl_options&) const = default;
};

} // namespace flamingoroute

#endif
