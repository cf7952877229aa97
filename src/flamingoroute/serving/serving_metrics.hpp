#ifndef FLAMINGOROUTE_SERVING_SERVING_METRICS_HPP
#define FLAMINGOROUTE_SERVING_SERVING_METRICS_HPP

#include <cstdint>
#include <string>

namespace flamingoroute {

struct serving_state;

/// @param refusedConnections connections of callers that were closed for want of room
/// @return the metrics of an instance, in the text format of Prometheus
std::string metricsOf(const serving_state& state, std::uint64_t refusedConnections);

} // namespace flamingoroute

#endif
