#ifndef FLAMINGOROUTE_REPORT_BURN_USAGE_HPP
#define FLAMINGOROUTE_REPORT_BURN_USAGE_HPP

#include "flamingoroute/report/burn_usage_line.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// Counts of one entry instance over each window of the burn report.
struct burn_usage {
    std::string failureDomain;
    std::vector<std::int64_t> coveredSeconds; ///< for each window
    std::vector<burn_usage_line> lines;

    bool operator==(const burn_usage&) const = default;
    MSGPACK_DEFINE(failureDomain, coveredSeconds, lines)
};

} // namespace flamingoroute

#endif
