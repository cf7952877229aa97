#ifndef FLAMINGOROUTE_REPORT_INTERNAL_LOG_LINE_HPP
#define FLAMINGOROUTE_REPORT_INTERNAL_LOG_LINE_HPP

#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/loglevel.h>

#include <string>

namespace flamingoroute {

/// A line queued for the log.
struct log_line {
    log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL;
    log4cplus::helpers::Time at;
    std::string text;
};

} // namespace flamingoroute

#endif
