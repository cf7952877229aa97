#ifndef FLAMINGOROUTE_RUNTIME_HTTP_HOST_OPTIONS_HPP
#define FLAMINGOROUTE_RUNTIME_HTTP_HOST_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Limits of an HTTP server.
struct http_host_options {
    int threads = 16; ///< connections served concurrently
    int queuedConnections = 64; ///< connections that wait for a thread; more are closed
    milliseconds timeout { 10000 }; ///< longest pause within a request
    milliseconds keepAliveTimeout { 30000 }; ///< idle timeout of a connection

    bool operator==(const http_host_options&) const = default;
};

} // namespace flamingoroute

#endif
