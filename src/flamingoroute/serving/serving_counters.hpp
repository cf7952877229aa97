#ifndef FLAMINGOROUTE_SERVING_SERVING_COUNTERS_HPP
#define FLAMINGOROUTE_SERVING_SERVING_COUNTERS_HPP

#include "flamingoroute/report/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace flamingoroute {

/// Counters of this instance since its start.
struct serving_counters {
    std::map<std::string, std::uint64_t> decisions; ///< by the name of the decision that ended a request
    std::map<std::string, std::uint64_t> attempts; ///< by outcome
    std::map<int, std::uint64_t> rejections; ///< requests answered before they were complete, by status
    std::uint64_t retries = 0;
    latency_histogram answerTime; ///< of requests that an upstream answered
};

} // namespace flamingoroute

#endif
