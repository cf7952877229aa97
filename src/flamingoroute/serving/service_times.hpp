#ifndef FLAMINGOROUTE_SERVING_SERVICE_TIMES_HPP
#define FLAMINGOROUTE_SERVING_SERVICE_TIMES_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <string>

namespace flamingoroute {

struct routing_rule;

/// Estimates how long upstreams take for the requests of each rule, with the object cached (warm) and without (cold).
/// Pure: no I/O, clocks or threads.
class service_times {
public:
    struct estimate {
        microseconds warm { 0 }; ///< at an upstream that recently handled the object
        microseconds cold { 0 }; ///< at an upstream that did not
    };

    /// @return expected times at an idle, healthy upstream, without the network path
    estimate of(const routing_rule& rule) const;

    /// Records the time of an answer from an upstream that had a free slot.
    /// @param isKnownWarm whether the upstream is known to have recently handled the object; always set for rules
    /// whose times do not depend on the object
    void update(const routing_rule& rule, microseconds taken, bool isKnownWarm);

private:
    std::map<std::string, estimate> m_estimates; ///< by rule name; bounded by the number of rules in the configuration
};

} // namespace flamingoroute

#endif
