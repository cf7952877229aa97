#ifndef FLAMINGOROUTE_REPORT_INTERNAL_LOG_WRITER_HPP
#define FLAMINGOROUTE_REPORT_INTERNAL_LOG_WRITER_HPP

#include "flamingoroute/concurrency/bounded_ring.hpp"
#include "flamingoroute/report/internal/log_line.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

namespace flamingoroute {

/// Takes lines from any thread without waiting and writes them on a thread of its own.
class log_writer {
public:
    using line_sink = std::function<void(const log_line&)>;

    log_writer();
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// Starts to write. A second start replaces the sink.
    /// @param flush called after some lines
    void start(line_sink sink, std::function<void()> flush);

    /// Writes what is left and ends the thread.
    void stop();

    /// Hands on a line; drops it if the writer has fallen behind. Before start() and after stop() it is dropped too.
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
