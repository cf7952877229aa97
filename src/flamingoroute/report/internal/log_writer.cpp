#include "flamingoroute/report/internal/log_writer.hpp"

namespace flamingoroute {

namespace {

/// Holds a few seconds of lines at the highest load.
constexpr std::size_t ringCapacity = 4096;
/// Batches lines, so that the writer thread does not wake up for each one.
constexpr std::chrono::milliseconds drainInterval { 100 };

} // namespace

log_writer::log_writer()
    : m_ring(ringCapacity)
{
}

log_writer::~log_writer() { stop(); }

void log_writer::start(line_sink sink, std::function<void()> flush)
{
    stop();
    m_sink = std::move(sink);
    m_flush = std::move(flush);
    m_isRunning = true;
    m_thread = std::thread([this] { run(); });
}

void log_writer::stop()
{
    m_isRunning = false;
    if (m_thread.joinable())
        m_thread.join();
}

void log_writer::write(log_line line)
{
    if (m_isRunning)
        m_ring.push(std::move(line));
}

void log_writer::run()
{
    while (m_isRunning) {
        drain();
        std::this_thread::sleep_for(drainInterval);
    }
    drain();
}

void log_writer::drain()
{
    bool isAnyWritten = false;
    while (const auto line = m_ring.pop()) {
        m_sink(*line);
        isAnyWritten = true;
    }
    const auto drops = m_ring.refusedCount();
    if (drops != m_reportedDrops) {
        const std::string text = "event=log.dropped count=" + std::to_string(drops - m_reportedDrops);
        m_reportedDrops = drops;
        m_sink({ log4cplus::WARN_LOG_LEVEL, log4cplus::helpers::now(), text });
        isAnyWritten = true;
    }
    if (isAnyWritten)
        m_flush();
}

} // namespace flamingoroute
