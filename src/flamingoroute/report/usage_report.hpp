#ifndef FLAMINGOROUTE_REPORT_USAGE_REPORT_HPP
#define FLAMINGOROUTE_REPORT_USAGE_REPORT_HPP

#include "flamingoroute/report/usage_line.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// The body of a `usage_report` message: what one entry counted over each window of the burn report.
struct usage_report {
    std::string failureDomain;
    std::vector<std::int64_t> coveredSeconds; ///< for each window
    std::vector<usage_line> lines;

    bool operator==(const usage_report&) const = default;
    MSGPACK_DEFINE(failureDomain, coveredSeconds, lines)
};

} // namespace flamingoroute

#endif
