#include "flamingoroute/report/internal/log_writer.hpp"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace flamingoroute {

namespace {

log_line makeLogLine(int number) { return { log4cplus::INFO_LOG_LEVEL, {}, std::to_string(number) }; }

} // namespace

TEST(log_writer, writes_all_lines_in_order_and_flushes_them)
{
    std::vector<std::string> written;
    int flushes = 0;
    log_writer writer;
    writer.start([&](const log_line& line) { written.push_back(line.text); }, [&] { ++flushes; });
    for (int i = 0; i < 100; ++i)
        writer.write(makeLogLine(i));
    writer.stop();
    ASSERT_EQ(written.size(), 100U);
    EXPECT_EQ(written.back(), "99");
    EXPECT_GT(flushes, 0);
}

TEST(log_writer, never_blocks_the_logging_thread_while_the_sink_is_stuck_and_reports_dropped_lines)
{
    std::mutex stuck;
    std::unique_lock hold(stuck);
    std::vector<std::string> written;
    log_writer writer;
    writer.start(
        [&](const log_line& line) {
            const std::lock_guard wait(stuck);
            written.push_back(line.text);
        },
        [] {});
    constexpr int lines = 20'000;
    for (int i = 0; i < lines; ++i)
        writer.write(makeLogLine(i));
    hold.unlock();
    writer.stop();
    EXPECT_LT(written.size(), static_cast<std::size_t>(lines));
    EXPECT_NE(written.back().find("event=log.dropped count="), std::string::npos);
}

} // namespace flamingoroute
