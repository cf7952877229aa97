#ifndef FLAMINGOROUTE_PROXY_HEADER_NAMES_HPP
#define FLAMINGOROUTE_PROXY_HEADER_NAMES_HPP

#include <string>

namespace flamingoroute {

/// Names of the header fields that callers, instances and upstreams use between them.
struct header_names {
    std::string requestId;
    std::string remainingTime; ///< milliseconds until the sender's timeout
    std::string objectKey; ///< requests for one object carry the same value
    std::string customer; ///< the customer that the request belongs to, for the upstream
    std::string expectedUpstream; ///< an upstream of another name must not run the request
    std::string notRun; ///< set by an upstream that did not run the request
    std::string load; ///< running and waiting requests of an upstream, and its slots
    std::string remainingColdTime; ///< header with the milliseconds that an upstream stays cold
    std::string requestLimit; ///< requests per second that an upstream accepts from all instances together
    std::string leaving; ///< set by an upstream that will soon accept no more requests
    std::string upstreamName; ///< in health answers
    std::string signature; ///< marks an answer as created by an upstream

    bool operator==(const header_names&) const = default;
};

} // namespace flamingoroute

#endif
