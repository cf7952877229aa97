#ifndef FLAMINGOROUTE_SERVING_BODY_POLICIES_HPP
#define FLAMINGOROUTE_SERVING_BODY_POLICIES_HPP

#include "flamingoroute/proxy/body_policy.hpp"

namespace flamingoroute {

struct serving_state;

/// @param state must outlive the policy; its counters count each refusal
/// @return the policy for the bodies of callers' requests: heads are checked as in admission, and all bodies share the
///         memory of the instance
body_policy makeBodyPolicy(serving_state& state);

} // namespace flamingoroute

#endif
