#ifndef FLAMINGOROUTE_RUNTIME_LOOKUP_QUESTION_HPP
#define FLAMINGOROUTE_RUNTIME_LOOKUP_QUESTION_HPP

#include "flamingoroute/model/ids.hpp"

#include <string>

namespace flamingoroute {

/// A caller's question which instances to use.
struct lookup_question {
    std::string host;
    region_id region;
    failure_domain_id failureDomain;

    bool operator==(const lookup_question&) const = default;
};

} // namespace flamingoroute

#endif
