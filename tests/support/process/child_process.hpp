#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_CHILD_PROCESS_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_CHILD_PROCESS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace flamingoroute::testing {

/// A program started by a test. The destructor kills it.
class child_process {
public:
    /// Starts a program.
    /// @param program path of the program
    /// @param arguments without the program's name
    /// @param logFile receives standard output and standard error
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal to this process only.
    void signal(int number) const;

    /// @return the exit code (128 + signal number if killed), or nothing if it is still running after @p timeout
    std::optional<int> waitForExit(milliseconds timeout);

    bool isRunning();
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};

} // namespace flamingoroute::testing

#endif
