#ifndef STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_FAULTS_HPP
#define STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_FAULTS_HPP

#include <string>
#include <vector>

namespace flamingoroute::stand_ins {

/// What is wrong with an upstream now. Set by POST /stand-in/faults.
struct upstream_faults {
    int failPercent = 0; ///< share of requests that run and answer 500
    int slowMs = 0; ///< added to each request
    int slowAboveConcurrency = 0; ///< slowMs applies only above so many requests at one time; 0: always
    std::string onlyPathPrefix; ///< failPercent and slowMs apply only there; empty: everywhere
    bool isLeaving = false; ///< refuses new work, unrun
    std::string healthSays; ///< empty: the truth; else "ok" or "leaving"
    double loadSays = -1; ///< negative: the truth; else this load is reported
    int cutAnswers = 0; ///< so many next answers break off in the middle
    int swallowAnswers = 0; ///< so many next requests run and get no answer on a connection kept open
    std::vector<std::string> secrets; ///< texts that must not be seen in any request
};

} // namespace flamingoroute::stand_ins

#endif
