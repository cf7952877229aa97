#include "flamingoroute/runtime/stop_signal.hpp"

#include <csignal>
#include <ctime>

namespace flamingoroute {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

stop_signal::stop_signal()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signal::wait()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    while (sigwait(&signals, &received) != 0) { }
}

bool stop_signal::waitFor(milliseconds timeout)
{
    const sigset_t signals = stopSignals();
    timespec limit {};
    limit.tv_sec = timeout.count() / 1000;
    limit.tv_nsec = (timeout.count() % 1000) * 1000000;
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

} // namespace flamingoroute
