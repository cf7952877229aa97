#ifndef FLAMINGOROUTE_RUNTIME_LOOKUP_JSON_HPP
#define FLAMINGOROUTE_RUNTIME_LOOKUP_JSON_HPP

#include "flamingoroute/requests/caller_answer.hpp"
#include "flamingoroute/steering/lookup_answer.hpp"

namespace flamingoroute {

/// @return the look-up answer for a caller: {"instances":[{"instance","failure_domain","region","address"}],"ttl_ms"}
caller_answer lookupAnswerAsJson(const lookup_answer& answer);

} // namespace flamingoroute

#endif
