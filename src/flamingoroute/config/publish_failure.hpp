#ifndef FLAMINGOROUTE_CONFIG_PUBLISH_FAILURE_HPP
#define FLAMINGOROUTE_CONFIG_PUBLISH_FAILURE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/settings/problem.hpp"

namespace flamingoroute {

/// Why nothing was published, or, with `outcome_unknown`, why that is not known.
struct publish_failure {
    error cause; ///< `conflict` names the winner: its revision and writer
    problem_list problems; ///< if the set is not valid

    bool operator==(const publish_failure&) const = default;
};

} // namespace flamingoroute

#endif
