#include "child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char** environ;

namespace flamingoroute::testing {

namespace {

constexpr milliseconds pollInterval { 5 };
constexpr int signalExitBase = 128;
constexpr int firstInheritedDescriptor = 3;

int exitCodeOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status); }

} // namespace

child_process::child_process(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::vector<char*> argv { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int logMode = 0644;
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A program must not hold sockets of the test open.
    posix_spawn_file_actions_addclosefrom_np(&actions, firstInheritedDescriptor);
    const int result = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error("cannot start " + program);
}

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_exitCode(other.m_exitCode)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_exitCode, other.m_exitCode);
    return *this;
}

child_process::~child_process()
{
    if (m_pid < 0 || m_exitCode)
        return;
    kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
}

void child_process::signal(int number) const
{
    if (m_pid > 0 && !m_exitCode)
        kill(m_pid, number);
}

std::optional<int> child_process::waitForExit(milliseconds timeout)
{
    const auto deadline = monotonicNow() + timeout;
    while (!m_exitCode) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_exitCode = exitCodeOf(status);
        else if (monotonicNow() >= deadline)
            return std::nullopt;
        else
            std::this_thread::sleep_for(pollInterval);
    }
    return m_exitCode;
}

bool child_process::isRunning() { return !waitForExit(milliseconds { 0 }); }

} // namespace flamingoroute::testing
