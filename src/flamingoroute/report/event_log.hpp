#ifndef FLAMINGOROUTE_REPORT_EVENT_LOG_HPP
#define FLAMINGOROUTE_REPORT_EVENT_LOG_HPP

#include "flamingoroute/model/error.hpp"

#include <log4cplus/logger.h>

#include <string>
#include <type_traits>

namespace flamingoroute {

enum class log_level {
    debug,
    info,
    warn,
    error,
};

/// Sets up logging for the process: one line of key=value pairs for each event, on standard output.
/// A dedicated thread writes the lines, so a thread that logs never blocks. If the writer falls behind, lines are
/// dropped, and the next written line reports how many.
/// @param program the program's name in each line
/// @param instance the instance's name in each line
/// @param level "debug", "info", "warn" or "error"
void startLogging(const std::string& program, const std::string& instance, const std::string& level);

/// Writes the remaining lines. No event may be logged afterwards.
void stopLogging();

/// One event. The destructor writes it as a line of key=value pairs.
///
///     event_line(log_level::info, "config.adopted").with("revision", 12);
class event_line {
public:
    event_line(log_level level, const std::string& event);
    ~event_line();
    event_line(const event_line&) = delete;
    event_line& operator=(const event_line&) = delete;

    /// Adds a pair; an empty value, or one with blanks, quotes, '=', backslashes or control characters, is quoted and
    /// escaped.
    event_line& with(const std::string& key, const std::string& value);

    template <typename Number>
    requires std::is_arithmetic_v<Number> event_line& with(const std::string& key, Number value)
    {
        return with(key, std::to_string(value));
    }

    /// Adds the code, step, peer and detail of an error.
    event_line& with(const error& failure);

private:
    log_level m_level;
    std::string m_line;
};

} // namespace flamingoroute

#endif
