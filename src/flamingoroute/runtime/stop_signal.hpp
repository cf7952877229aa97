#ifndef FLAMINGOROUTE_RUNTIME_STOP_SIGNAL_HPP
#define FLAMINGOROUTE_RUNTIME_STOP_SIGNAL_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Blocks SIGTERM and SIGINT in this thread and all threads started later, and lets one thread wait for them.
/// Construct it before any other thread starts. Ignores SIGPIPE.
class stop_signal {
public:
    stop_signal();

    /// Waits for SIGTERM or SIGINT.
    void wait();

    /// @return whether a signal arrived within @p timeout
    bool waitFor(milliseconds timeout);
};

} // namespace flamingoroute

#endif
