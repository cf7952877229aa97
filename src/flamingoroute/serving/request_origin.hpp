#ifndef FLAMINGOROUTE_SERVING_REQUEST_ORIGIN_HPP
#define FLAMINGOROUTE_SERVING_REQUEST_ORIGIN_HPP

namespace flamingoroute {

/// Who sent a request to this instance.
enum class request_origin {
    caller,
    instance, ///< another instance, which reaches no upstream, forwarded a caller's request
};

} // namespace flamingoroute

#endif
