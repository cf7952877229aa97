#ifndef FLAMINGOROUTE_PROXY_HEADER_NAMES_HPP
#define FLAMINGOROUTE_PROXY_HEADER_NAMES_HPP

#include <string>

namespace flamingoroute {

/// What the header fields are called that callers, instances and upstreams use among themselves.
struct header_names {
    std::string requestId;
    std::string remainingTime; ///< milliseconds that the sender will still wait
    std::string objectKey; ///< requests for one object carry the same value
    std::string customer; ///< tells the upstream whose request it is
    std::string expectedUpstream; ///< an upstream of another name must not run the request
    std::string notRun; ///< an upstream's word that it did not run the request
    std::string load; ///< an upstream's running and waiting requests and its slots
    std::string coldFor; ///< milliseconds that an upstream stays cold
    std::string upstreamName; ///< in health answers
    std::string signature; ///< marks an answer as made by an upstream

    bool operator==(const header_names&) const = default;
};

} // namespace flamingoroute

#endif
