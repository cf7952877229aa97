#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_UPSTREAM_COUNTS_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_UPSTREAM_COUNTS_HPP

#include <map>
#include <string>

namespace flamingoroute::testing {

/// Counters of an upstream stand-in.
struct upstream_counts {
    bool isReached = false;
    int runs = 0;
    int shed = 0;
    int cancelled = 0;
    int maxRunning = 0;
    int secretsSeen = 0;
    std::map<std::string, int> runsById; ///< by Test-Request-Id, or by Idempotency-Key if that is missing
};

} // namespace flamingoroute::testing

#endif
