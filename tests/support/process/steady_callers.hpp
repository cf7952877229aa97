#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_STEADY_CALLERS_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_STEADY_CALLERS_HPP

#include "caller_tally.hpp"
#include "fleet.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoroute::testing {

/// Well-behaved callers: each looks up the instances to use, keeps its connection, repeats the lookup when it is stale,
/// and moves to the next instance when one does not answer or closes. Stopped by stop() or the destructor.
class steady_callers {
public:
    /// @param count threads, each with one connection
    /// @param pause between two requests of a caller
    steady_callers(const fleet& system, int count, std::string method, std::string target, milliseconds pause);
    ~steady_callers();
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    /// Stops all callers after their current request.
    /// @return the results since the start
    caller_tally stop();

private:
    void run(int number);
    std::vector<endpoint> lookUp(const std::vector<endpoint>& known) const;
    void recordReply(const std::string& id, const http_reply& reply);

    const fleet& m_system;
    std::string m_method;
    std::string m_target;
    milliseconds m_pause;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    caller_tally m_tally;
    std::vector<std::thread> m_threads;
};

} // namespace flamingoroute::testing

#endif
