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

/// A node's serving state with one service, its upstreams on raw sockets, and callers that are simply called.
class serving_fixture {
public:
    serving_fixture();

    /// Lists a raw upstream as one of the service.
    void addUpstream(const std::string& name, const raw_upstream& target, const std::string& domain = "centro-a");

    /// Puts changes of the configuration in force.
    void apply();

    /// @return a proper request of the customer for the idempotent rule
    static http_request readRequest();

    /// @return a proper request of the customer for the rule that must not be repeated
    static http_request orderRequest();

    /// Begins to serve @p request.
    std::shared_ptr<caller_exchange> begin(http_request request);

    /// Serves @p request and runs the event loop until it is answered.
    /// @return the answer, or nothing after ten seconds
    std::optional<caller_answer> serve(http_request request);

    /// Runs the event loop for a while.
    void run(milliseconds time);

    boost::asio::io_context loop;
    fleet_configuration configuration;
    serving_state state;
    std::optional<caller_answer> lastAnswer;
};

/// @return an answer as upstreams give it, signed and with the id of @p request
std::string signedAnswer(const std::string& request, const std::string& status, const std::string& extraHeaders = "");

/// @return the value of a header in the text of a request
std::string headerIn(const std::string& request, const std::string& name);

} // namespace flamingoroute::testing

#endif
