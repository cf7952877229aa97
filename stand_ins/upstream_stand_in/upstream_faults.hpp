#ifndef STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_FAULTS_HPP
#define STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_FAULTS_HPP

#include <string>
#include <vector>

namespace flamingoroute::stand_ins {

/// The active faults of an upstream. Set by POST /stand-in/faults.
struct upstream_faults {
    int failPercent = 0; ///< percentage of requests that run and return 500
    int slowMs = 0; ///< added to each request
    int slowAboveConcurrency = 0; ///< slowMs applies only above this number of concurrent requests; 0: always
    std::string onlyPathPrefix; ///< failPercent and slowMs apply only to paths with this prefix; empty: all
    bool isLeaving = false; ///< rejects new requests without running them
    std::string reportedHealth; ///< "ok" or "leaving", reported as the health status; empty: the actual status
    double reportedLoad = -1; ///< reported in place of the actual load; negative: the actual load
    int answersToTruncate = 0; ///< number of next answers that are truncated after half of the body
    int answersToSuppress = 0; ///< number of next requests that run without an answer while the connection stays open
    std::vector<std::string> secrets; ///< strings that must not occur in any request
};

} // namespace flamingoroute::stand_ins

#endif
