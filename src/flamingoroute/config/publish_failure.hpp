#ifndef FLAMINGOROUTE_CONFIG_PUBLISH_FAILURE_HPP
#define FLAMINGOROUTE_CONFIG_PUBLISH_FAILURE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/settings/problem.hpp"

namespace flamingoroute {

/// Why nothing was published, or, with `outcome_unknown`, why it is unknown whether the publication succeeded.
struct publish_failure {
    error cause; ///< with `conflict`: revision and writer of the publication that succeeded instead, if known
    problem_list problems; ///< if the configuration is not valid

    bool operator==(const publish_failure&) const = default;
};

} // namespace flamingoroute

#endif
