#include "flamingoroute/duties/usage_reporter.hpp"

#include "flamingoroute/report/event_log.hpp"

#include <utility>

namespace flamingoroute {

namespace {

constexpr milliseconds storeRetryInterval { 300 };

} // namespace

usage_reporter::usage_reporter(const usage_schedule& schedule, microseconds sendGap, hooks callbacks)
    : m_schedule(schedule)
    , m_sendGap(sendGap)
    , m_hooks(std::move(callbacks))
{
}

void usage_reporter::poll(monotonic_time now)
{
    const auto token = m_hooks.token();
    if (token == 0)
        return;
    if (token != m_token)
        startTerm(token);
    if (!m_isRead) {
        readLedger(now);
        return;
    }
    recordNext(now);
    sendNext(now);
}

void usage_reporter::startTerm(object_version token)
{
    m_token = token;
    m_isRead = false;
    m_settled.clear();
}

void usage_reporter::readLedger(monotonic_time now)
{
    if (m_isCalling || now < m_nextCall)
        return;
    m_isCalling = true;
    m_nextCall = now + storeRetryInterval;
    const auto token = m_token;
    m_hooks.ledger.read(false, [this, token, now](const auto& answer) {
        m_isCalling = false;
        // An answer to an earlier term's call may be older than what another holder recorded in between.
        if (token == m_token)
            onLedger(answer, now);
    });
}

void usage_reporter::onLedger(const tl::expected<stored_object, error>& answer, monotonic_time now)
{
    if (!answer) {
        if (answer.error().code == error_code::not_found)
            adopt(m_version == 0 ? emptyLedger(now) : ledgerAfterUnreadable(now), 0);
        else
            event_line(log_level::warn, "usage.ledger_not_read").with("token", m_token).with(answer.error());
        return;
    }
    const auto ledger = parseLedger(answer->value);
    if (ledger) {
        adopt(*ledger, answer->version);
        return;
    }
    event_line(log_level::warn, "usage.ledger_unreadable")
        .with("token", m_token)
        .with("version", answer->version)
        .with(ledger.error());
    adopt(ledgerAfterUnreadable(now), answer->version);
}

void usage_reporter::adopt(const usage_ledger& ledger, object_version version)
{
    const auto recordedHere = std::exchange(m_ledger, ledger);
    // A restored store may have forgotten windows that were reported already.
    if (ledger.lastWindow < recordedHere.lastWindow) {
        m_ledger.lastWindow = recordedHere.lastWindow;
        m_ledger.open.insert(recordedHere.open.begin(), recordedHere.open.end());
    }
    m_version = version;
    m_isRead = true;
    event_line(log_level::info, "usage.ledger_read")
        .with("token", m_token)
        .with("last_window", m_ledger.lastWindow)
        .with("open", m_ledger.open.size());
}

usage_ledger usage_reporter::emptyLedger(monotonic_time now) const
{
    usage_ledger ledger;
    ledger.lastWindow = m_hooks.oldestWindow().value_or(m_hooks.windowAt(now)) - 1;
    return ledger;
}

/// Any window that has ended may have been reported with other counts.
usage_ledger usage_reporter::ledgerAfterUnreadable(monotonic_time now) const
{
    usage_ledger ledger;
    ledger.lastWindow = m_hooks.windowAt(now) - 1;
    return ledger;
}

void usage_reporter::recordNext(monotonic_time now)
{
    if (m_isCalling || now < m_nextCall)
        return;
    skipLateWindows(now);
    const auto window = m_ledger.lastWindow + 1;
    const auto sinceEnd = m_hooks.sinceEnd(window, now);
    if (!m_schedule.isRecordable(sinceEnd, true))
        return;
    const auto total = m_hooks.total(window);
    const auto fleetSize = m_hooks.fleetSize();
    // Without any counts there is nothing to report; they may still arrive.
    if (total.instances == 0 || !m_schedule.isRecordable(sinceEnd, total.instances >= fleetSize))
        return;
    event_line(total.instances < fleetSize ? log_level::warn : log_level::info, "usage.recording")
        .with("window", window)
        .with("token", m_token)
        .with("instances", total.instances)
        .with("missing", fleetSize - std::min<std::size_t>(fleetSize, total.instances))
        .with("customers", total.requests.size())
        .with("requests", sumOf(total.requests));
    auto next = m_ledger;
    next.lastWindow = window;
    for (const auto settled : m_settled)
        next.open.erase(settled);
    next.open[window] = total.requests;
    m_nextCall = now + storeRetryInterval;
    writeLedger(next);
}

void usage_reporter::skipLateWindows(monotonic_time now)
{
    while (m_schedule.isLate(m_hooks.sinceEnd(m_ledger.lastWindow + 1, now))) {
        const auto current = m_hooks.windowAt(now);
        ++m_ledger.lastWindow;
        ++m_tally.missed;
        event_line(log_level::warn, "usage.missed")
            .with("window", m_ledger.lastWindow)
            .with("token", m_token)
            .with("detail", "not recorded in time");
        // A ledger from long ago, or from before a step of the clock, is not followed window by window.
        constexpr window_index maxSkipped = 100;
        if (current - m_ledger.lastWindow > maxSkipped)
            m_ledger.lastWindow = current - maxSkipped;
    }
}

void usage_reporter::writeLedger(const usage_ledger& next)
{
    m_isCalling = true;
    const auto token = m_token;
    auto done = [this, next, token](const auto& answer) {
        m_isCalling = false;
        if (token == m_token)
            onWritten(next, answer);
    };
    if (m_version == 0)
        m_hooks.ledger.create(encodeLedger(next), std::move(done));
    else
        m_hooks.ledger.replace(encodeLedger(next), m_version, std::move(done));
}

void usage_reporter::onWritten(const usage_ledger& next, const tl::expected<object_version, error>& answer)
{
    if (answer) {
        m_ledger = next;
        m_version = *answer;
        std::erase_if(m_settled, [&](window_index window) { return !next.open.contains(window); });
        ++m_tally.recorded;
        event_line(log_level::info, "usage.recorded")
            .with("window", next.lastWindow)
            .with("token", m_token)
            .with("version", m_version);
        return;
    }
    event_line(log_level::warn, "usage.not_recorded")
        .with("window", next.lastWindow)
        .with("token", m_token)
        .with(answer.error());
    // Unless the write certainly had no effect, only the store knows which counts are fixed.
    m_isRead = answer.error().code == error_code::unavailable;
}

void usage_reporter::sendNext(monotonic_time now)
{
    dropLateReports(now);
    if (m_isSending || !m_isRead || now < m_nextSend)
        return;
    for (const auto& [window, requests] : m_ledger.open) {
        if (m_settled.contains(window))
            continue;
        m_isSending = true;
        m_nextSend = now + m_sendGap;
        ++m_tally.sent;
        const window_report report { m_token, window, requests };
        m_hooks.send(report, [this, report](const auto& answer) { onSent(report, answer); });
        return;
    }
}

void usage_reporter::dropLateReports(monotonic_time now)
{
    for (const auto& [window, requests] : m_ledger.open) {
        if (!m_schedule.isLate(m_hooks.sinceEnd(window, now)) || !m_settled.insert(window).second)
            continue;
        ++m_tally.missed;
        event_line(log_level::warn, "usage.missed")
            .with("window", window)
            .with("token", m_token)
            .with("detail", "not confirmed in time");
    }
}

void usage_reporter::onSent(const window_report& report, const tl::expected<void, error>& answer)
{
    m_isSending = false;
    if (!answer) {
        event_line(log_level::warn, "usage.not_confirmed")
            .with("window", report.window)
            .with("token", report.token)
            .with(answer.error());
        return;
    }
    // A late answer may belong to an earlier term or to a window that counts as missed.
    if (m_ledger.open.contains(report.window) && m_settled.insert(report.window).second)
        ++m_tally.confirmed;
    event_line(log_level::info, "usage.confirmed")
        .with("window", report.window)
        .with("token", report.token)
        .with("customers", report.requests.size())
        .with("requests", sumOf(report.requests));
}

} // namespace flamingoroute
