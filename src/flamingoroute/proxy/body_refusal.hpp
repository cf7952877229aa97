#ifndef FLAMINGOROUTE_PROXY_BODY_REFUSAL_HPP
#define FLAMINGOROUTE_PROXY_BODY_REFUSAL_HPP

namespace flamingoroute {

/// Why a request is refused before its body is complete.
enum class body_refusal {
    no_memory, ///< there is no room for it
    evicted, ///< it arrived too slowly, or its owner had more than an equal share, while memory was short
};

} // namespace flamingoroute

#endif
