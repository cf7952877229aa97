#ifndef FLAMINGOROUTE_REPORT_INTERNAL_LOG_WRITER_HPP
#define FLAMINGOROUTE_REPORT_INTERNAL_LOG_WRITER_HPP

#include "flamingoroute/concurrency/bounded_ring.hpp"
#include "flamingoroute/report/internal/log_line.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

namespace flamingoroute {

/// Accepts lines from any thread without blocking and writes them on a dedicated thread.
class log_writer {
public:
    using line_sink = std::function<void(const log_line&)>;

    log_writer();
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// Starts the writer thread. A second call replaces the sink.
    /// @param flush called after each batch of lines
    void start(line_sink sink, std::function<void()> flush);

    /// Writes the remaining lines and ends the thread.
    void stop();

    /// Queues a line. Drops it if the queue is full, and before start() and after stop().
    void write(log_line line);

private:
    void run();
    void drain();

    bounded_ring<log_line> m_ring;
    line_sink m_sink;
    std::function<void()> m_flush;
    std::atomic<bool> m_isRunning { false };
    std::uint64_t m_reportedDrops = 0;
    std::thread m_thread;
};

} // namespace flamingoroute

#endif
