#ifndef FLAMINGOROUTE_RUNTIME_DUTY_CALLER_HPP
#define FLAMINGOROUTE_RUNTIME_DUTY_CALLER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/http_request.hpp"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>

namespace flamingoroute {

/// Sends requests that an instance may send only while it holds a duty.
class duty_caller {
public:
    /// @return for how long the sender may act; zero or less: it must not send
    using time_left = std::function<microseconds()>;
    using done_callback = std::function<void(tl::expected<void, error>)>;

    duty_caller(boost::asio::io_context& loop, const endpoint& peer);

    /// Sends @p request on a connection of its own, which is reset when the time is over: neither the process nor the
    /// kernel sends any of it later.
    /// @param timeLeft asked now and immediately before the bytes are handed to the socket
    /// @param done invoked exactly once, not before this returns; success is a 2xx answer
    void call(http_request request, time_left timeLeft, done_callback done);

private:
    struct open_call;

    boost::asio::io_context& m_loop;
    endpoint m_peer;
};

} // namespace flamingoroute

#endif
