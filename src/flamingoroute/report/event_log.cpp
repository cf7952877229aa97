#include "flamingoroute/report/event_log.hpp"

#include "flamingoroute/report/internal/log_writer.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <iostream>

namespace flamingoroute {

namespace {

bool needsQuotes(const std::string& value)
{
    if (value.empty())
        return true;
    for (const unsigned char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
            return true;
    }
    return false;
}

std::string quoted(const std::string& value)
{
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            result += '\\';
        if (c == '\n')
            result += "\\n";
        else if (static_cast<unsigned char>(c) < ' ')
            result += ' ';
        else
            result += c;
    }
    return result + "\"";
}

log4cplus::LogLevel toNativeLevel(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel parseLevel(const std::string& name)
{
    if (name == "debug")
        return log4cplus::DEBUG_LOG_LEVEL;
    if (name == "warn")
        return log4cplus::WARN_LOG_LEVEL;
    if (name == "error")
        return log4cplus::ERROR_LOG_LEVEL;
    return log4cplus::INFO_LOG_LEVEL;
}

log_writer& writer()
{
    static log_writer instance;
    return instance;
}

} // namespace

void startLogging(const std::string& program, const std::string& instance, const std::string& level)
{
    log4cplus::initialize();
    const bool toStandardError = false;
    const bool flushEachLine = false;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p program=" + program
        + " instance=" + (needsQuotes(instance) ? quoted(instance) : instance) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(parseLevel(level));
    writer().start(
        [](const log_line& line) {
            auto target = log4cplus::Logger::getRoot();
            const log4cplus::spi::InternalLoggingEvent event(
                target.getName(), line.level, {}, {}, line.text, {}, {}, line.at, {}, 0);
            target.callAppenders(event);
        },
        [] { std::cout.flush(); });
}

void stopLogging() { writer().stop(); }

event_line::event_line(log_level level, const std::string& event)
    : m_level(level)
    , m_line("event=" + event)
{
}

event_line::~event_line()
{
    auto root = log4cplus::Logger::getRoot();
    if (root.isEnabledFor(toNativeLevel(m_level)))
        writer().write({ toNativeLevel(m_level), log4cplus::helpers::now(), std::move(m_line) });
}

event_line& event_line::with(const std::string& key, const std::string& value)
{
    m_line += " " + key + "=" + (needsQuotes(value) ? quoted(value) : value);
    return *this;
}

event_line& event_line::with(const error& failure)
{
    return with("code", toString(failure.code))
        .with("step", failure.step)
        .with("peer", failure.peer)
        .with("detail", failure.detail);
}

} // namespace flamingoroute
