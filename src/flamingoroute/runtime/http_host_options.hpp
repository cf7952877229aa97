#ifndef FLAMINGOROUTE_RUNTIME_HTTP_HOST_OPTIONS_HPP
#define FLAMINGOROUTE_RUNTIME_HTTP_HOST_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Bounds of an HTTP server.
struct http_host_options {
    int threads = 16; ///< connections served at one time
    int queuedConnections = 64; ///< connections that wait for a thread; more are closed
    milliseconds timeout { 10000 }; ///< silence allowed within a request
    milliseconds keepAliveTimeout { 30000 }; ///< an idle connection is kept this long

    bool operator==(const http_host_options&) const = default;
};

} // namespace flamingoroute

#endif
