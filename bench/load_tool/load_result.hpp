#ifndef BENCH_LOAD_TOOL_LOAD_RESULT_HPP
#define BENCH_LOAD_TOOL_LOAD_RESULT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoroute::bench {

/// Results of a load run.
struct load_result {
    std::map<int, std::uint64_t> countByStatus; ///< status 0: no complete answer
    std::vector<microseconds> latencies; ///< of all answers, sorted; measured from the scheduled send time
    std::vector<microseconds> goodLatencies; ///< of answers below status 400, sorted
    double elapsedSeconds = 0;

    /// @param share fraction, 0 to 1
    /// @return the latency that this share of @p sorted does not exceed; zero if @p sorted is empty
    static microseconds percentile(const std::vector<microseconds>& sorted, double share);

    /// @return the results as one line of JSON
    std::string toJson() const;

    /// @return the results as human-readable text
    std::string toText() const;
};

} // namespace flamingoroute::bench

#endif
