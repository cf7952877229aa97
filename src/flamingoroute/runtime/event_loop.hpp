#ifndef FLAMINGOROUTE_RUNTIME_EVENT_LOOP_HPP
#define FLAMINGOROUTE_RUNTIME_EVENT_LOOP_HPP

#include <boost/asio/io_context.hpp>

namespace flamingoroute {

/// Runs the handlers of @p loop until it is stopped or has none left. A handler that throws is logged and ends; the
/// others go on, so that one unexpected input does not end the process and all requests in it.
void runEventLoop(boost::asio::io_context& loop);

} // namespace flamingoroute

#endif
