#ifndef FLAMINGOROUTE_ADMIN_CLIENT_CTL_OPTIONS_HPP
#define FLAMINGOROUTE_ADMIN_CLIENT_CTL_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <string>

namespace flamingoroute {

/// The flags of flamingoctl that its commands read.
struct ctl_options {
    bool isJson = false; ///< print JSON instead of text
    std::int64_t expectedRevision = -1; ///< negative: accept any current revision
    std::string customer;
    std::string service;
    std::string from;
    std::string to;
    std::string finishBy; ///< RFC 3339 in UTC
    int capPercent = 100;
    std::string html; ///< output file of the HTML report; empty: none
    milliseconds wait { 10000 }; ///< maximum time to wait until a change is active everywhere

    bool operator==(const ctl_options&) const = default;
};

} // namespace flamingoroute

#endif
