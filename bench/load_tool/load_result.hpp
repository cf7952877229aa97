#ifndef BENCH_LOAD_TOOL_LOAD_RESULT_HPP
#define BENCH_LOAD_TOOL_LOAD_RESULT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoroute::bench {

/// What came of a run of load.
struct load_result {
    std::map<int, std::uint64_t> countByStatus; ///< status 0: no whole answer
    std::vector<microseconds> latencies; ///< of all answers, sorted; from the time a request was due
    std::vector<microseconds> goodLatencies; ///< of answers below status 400, sorted
    double elapsedSeconds = 0;

    /// @return the latency that a share of @p sorted does not exceed; zero if there is none
    static microseconds percentile(const std::vector<microseconds>& sorted, double share);

    /// @return the figures on one line of JSON
    std::string toJson() const;

    /// @return the figures for people
    std::string toText() const;
};

} // namespace flamingoroute::bench

#endif
