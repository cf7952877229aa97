#ifndef BENCH_LOAD_TOOL_LOAD_OPTIONS_HPP
#define BENCH_LOAD_TOOL_LOAD_OPTIONS_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute::bench {

/// Options of one load run.
struct load_options {
    std::vector<endpoint> targets; ///< connections are assigned round-robin
    std::string method = "GET";
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    int connections = 8;
    double requestsPerSecond
        = 0; ///< total over all connections; zero: each connection sends its next request on each answer
    milliseconds duration { 5000 };
    bool isNumbered = false; ///< adds a Test-Request-Id, and an Idempotency-Key to a POST, to each request
};

} // namespace flamingoroute::bench

#endif
