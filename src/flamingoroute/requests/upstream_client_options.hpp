#ifndef FLAMINGOROUTE_REQUESTS_UPSTREAM_CLIENT_OPTIONS_HPP
#define FLAMINGOROUTE_REQUESTS_UPSTREAM_CLIENT_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/pool_policy.hpp"

#include <cstddef>

namespace flamingoroute {

/// Limits of the connections to upstreams.
struct upstream_client_options {
    int instancesPerUpstream = 9; ///< number of instances that share an upstream's connection limit
    milliseconds connectTimeout { 500 };
    milliseconds unacknowledgedTimeout { 2000 }; ///< TCP_USER_TIMEOUT
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
    pool_limits pool;

    bool operator==(const upstream_client_options&) const = default;
};

} // namespace flamingoroute

#endif
