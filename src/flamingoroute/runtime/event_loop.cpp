#include "flamingoroute/runtime/event_loop.hpp"

#include "flamingoroute/report/event_log.hpp"

#include <exception>

namespace flamingoroute {

void runEventLoop(boost::asio::io_context& loop)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception& problem) {
            event_line(log_level::error, "node.handler_failed").with("detail", problem.what());
        }
    }
}

} // namespace flamingoroute
