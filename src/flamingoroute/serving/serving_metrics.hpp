#ifndef FLAMINGOROUTE_SERVING_SERVING_METRICS_HPP
#define FLAMINGOROUTE_SERVING_SERVING_METRICS_HPP

#include <cstdint>

namespace flamingoroute {

class metrics_text;
struct serving_state;

/// Adds the metrics of an instance's requests.
/// @param refusedConnections connections of callers that were closed for want of room
void addMetrics(metrics_text& text, const serving_state& state, std::uint64_t refusedConnections);

} // namespace flamingoroute

#endif
