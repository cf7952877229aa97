#ifndef FLAMINGOROUTE_MODEL_ROUTE_HPP
#define FLAMINGOROUTE_MODEL_ROUTE_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

enum class request_class {
    interactive,
    bulk,
};

/// A part of a service: the requests that it matches and how they may be handled.
struct route {
    std::string name;
    std::string pathPrefix;
    std::vector<std::string> methods; ///< empty: all methods
    bool isRepeatable = false; ///< an upstream may run the same request twice without harm
    bool isOpen = false; ///< open to all: needs no key
    bool requiresIdempotencyKey = false; ///< refuse a request without an Idempotency-Key
    request_class requestClass = request_class::interactive;
    milliseconds deadline { 5000 }; ///< for the whole request, queueing included

    bool operator==(const route&) const = default;
};

} // namespace flamingoroute

#endif
