#ifndef FLAMINGOROUTE_RUNTIME_WATCH_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_WATCH_DUTY_HPP

#include "flamingoroute/config/watch_policy.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/watch_duty_hooks.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace flamingoroute {

/// Reads the platform for an instance: watches the head if the instance is one of its failure domain's watchers, polls
/// it at longer intervals otherwise, reads the instance list, and fetches chunks. Uses two threads, because a watch
/// blocks.
class watch_duty {
public:
    /// @param store the platform; must outlive the duty
    watch_duty(object_store& store, watch_duty_hooks hooks);
    ~watch_duty();

    void start();
    void stop();

    /// The following three are thread-safe.
    void setWatchRole(bool isWatcher) { m_isWatcher = isWatcher; }
    void readHead();
    void readChunks(const std::vector<std::string>& hashes);

    /// @return when the last successful read of the head was sent
    std::optional<monotonic_time> lastReadSentAt() const;

private:
    using read_job = std::function<void()>;

    void watchLoop();
    void runStep(watch_step step);
    bool watchOnce();
    bool fetchHead();
    bool fetchInstances();
    void recordRead(monotonic_time requestedAt);

    object_store& m_store;
    watch_duty_hooks m_hooks;
    watch_policy m_policy;
    std::atomic<bool> m_isWatcher { false };
    std::atomic<bool> m_isStopping { false };
    std::uint64_t m_sequence = 0; ///< of the last received change, or the version of the last read head
    mutable std::mutex m_mutex;
    std::optional<monotonic_time> m_lastReadSentAt;
    duty_thread<read_job> m_reader;
    std::thread m_watchThread;
};

} // namespace flamingoroute

#endif
