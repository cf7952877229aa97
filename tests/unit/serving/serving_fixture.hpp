#ifndef FLAMINGOROUTE_TESTS_UNIT_SERVING_SERVING_FIXTURE_HPP
#define FLAMINGOROUTE_TESTS_UNIT_SERVING_SERVING_FIXTURE_HPP

#include "flamingoroute/proxy/caller_exchange.hpp"
#include "flamingoroute/serving/request_flow.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "support/process/raw_upstream.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace flamingoroute::testing {

/// Serving state of an instance with one service. Its upstreams listen on raw sockets; callers are plain callbacks.
class serving_fixture {
public:
    serving_fixture();

    /// Adds a raw upstream to the service.
    void addUpstream(const std::string& name, const raw_upstream& target, const std::string& domain = "centro-a",
        const std::string& version = "v1");

    /// Activates the changed configuration.
    void apply();

    /// @return a valid request of the customer for the idempotent rule
    static http_request readRequest();

    /// @return a valid request of the customer for the non-idempotent rule
    static http_request orderRequest();

    /// Starts serving @p request.
    std::shared_ptr<caller_exchange> begin(http_request request, request_origin origin = request_origin::caller);

    /// Serves @p request and runs the event loop until it is answered.
    /// @return the answer; empty if there is none within ten seconds
    std::optional<caller_answer> serve(http_request request);

    /// Serves @p count read requests with different ids for different objects.
    void serveReads(int count);

    /// Runs the event loop for @p time.
    void run(milliseconds time);

    boost::asio::io_context loop;
    fleet_configuration configuration;
    serving_state state;
    std::optional<caller_answer> lastAnswer;
};

/// @return a signed answer as an upstream sends it, with the id of @p request
std::string signedAnswer(const std::string& request, const std::string& status, const std::string& extraHeaders = "");

/// Answers each request of a connection with @p status.
raw_upstream::script answering(const std::string& status, const std::string& extraHeaders = "");

/// @return the value of a header in the text of a request
std::string headerIn(const std::string& request, const std::string& name);

} // namespace flamingoroute::testing

#endif
