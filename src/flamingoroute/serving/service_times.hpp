#ifndef FLAMINGOROUTE_SERVING_SERVICE_TIMES_HPP
#define FLAMINGOROUTE_SERVING_SERVICE_TIMES_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <string>

namespace flamingoroute {

struct routing_rule;

/// Learns how long upstreams take for the requests of each rule, with the object at hand and without. Pure.
class service_times {
public:
    struct estimate {
        microseconds warm { 0 }; ///< at an upstream that handled the object lately
        microseconds cold { 0 }; ///< at one that did not
    };

    /// @return what an idle sound upstream is expected to take, without the path
    estimate of(const routing_rule& rule) const;

    /// Told of an answer of an upstream that had a free slot.
    /// @param isKnownWarm whether the upstream surely handled the object lately
    void update(const routing_rule& rule, microseconds taken, bool isKnownWarm);

private:
    std::map<std::string, estimate> m_estimates; ///< bounded by the rules of the configuration
};

} // namespace flamingoroute

#endif
