#include "flamingoroute/runtime/usage_duty.hpp"

#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/report/metrics_text.hpp"
#include "flamingoroute/runtime/boot_time.hpp"
#include "flamingoroute/runtime/incarnation_clock.hpp"
#include "flamingoroute/runtime/unix_time.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/store/watched_store.hpp"

namespace flamingoroute {

namespace {

constexpr const char* leaseName = "usage-lease";
constexpr const char* ledgerName = "usage-ledger";
/// Renewed at this fraction of the term, so that one failed call can be repeated in time.
constexpr double renewFraction = 0.45;
/// In fleets without relays so many instances read the lease.
constexpr std::size_t candidatesWithoutRelays = 3;
/// Windows before the open one whose messages may still be due.
constexpr window_index openWindows = 4;
/// Half of the rate that the platform accepts is left for calls of a former holder.
constexpr double rateFraction = 0.5;
constexpr microseconds minSendGap { 300'000 };

lease_settings leaseSettingsFor(const node_settings& settings, incarnation self)
{
    lease_settings lease;
    lease.name = leaseName;
    // With the address: another machine may get the name later.
    lease.holder = settings.instance.value() + "@" + toString(settings.peerAddress);
    lease.holderIncarnation = self;
    lease.duration = settings.bounds.leaseTime + settings.bounds.pauseSlack;
    lease.renewInterval
        = milliseconds(static_cast<std::int64_t>(renewFraction * static_cast<double>(lease.duration.count())));
    lease.retryInterval = lease.duration / 3;
    return lease;
}

/// @return a callback that passes the revision of a write on as an object version
watched_store::write_callback packed(object_access::write_callback done)
{
    return [done = std::move(done)](
               const tl::expected<store_revision, error>& written) { done(written.map(packRevision)); };
}

microseconds sendGapFor(const node_settings& settings)
{
    constexpr double microsecondsPerSecond = 1e6;
    const double perSecond = std::max(rateFraction * settings.dutyCallsPerSecond, 0.01);
    return std::max(minSendGap, microseconds(static_cast<std::int64_t>(microsecondsPerSecond / perSecond)));
}

} // namespace

usage_duty::usage_duty(serving_state& state, watched_store& store, const fleet_port& port, send_message send)
    : m_state(state)
    , m_store(store)
    , m_port(port)
    , m_send(std::move(send))
    , m_schedule(state.settings.bounds.usageLateAfter)
    , m_incarnation(newIncarnation())
    , m_lease(leaseSettingsFor(state.settings, m_incarnation), accessTo(leaseName), bootTimeNow)
    , m_caller(state.loop, state.settings.usageAddress)
    , m_reporter(m_schedule, sendGapFor(state.settings), reporterHooks())
{
}

bool usage_duty::isEnabled() const { return m_state.usage.isEnabled(); }

object_access usage_duty::accessTo(const std::string& name) const
{
    object_access access;
    access.read = [this, name](bool mayBeStale, object_access::read_callback done) {
        m_store.read(m_port.dutyKind, name, mayBeStale, [this, name, done = std::move(done)](const auto& answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            const auto& specification = answer->specification;
            const std::string value = specification.isNull() ? std::string() : toJsonText(specification);
            done(stored_object { m_port.dutyKind, name, packRevision(answer->revision), value });
        });
    };
    access.create = [this, name](const std::string& value, object_access::write_callback done) {
        m_store.create(m_port.dutyKind, name, value, packed(std::move(done)));
    };
    access.replace
        = [this, name](const std::string& value, object_version expected, object_access::write_callback done) {
              m_store.replace(m_port.dutyKind, name, value, unpackRevision(expected), packed(std::move(done)));
          };
    return access;
}

usage_reporter::hooks usage_duty::reporterHooks()
{
    usage_reporter::hooks hooks;
    hooks.ledger = accessTo(ledgerName);
    hooks.token = [this] { return m_lease.token(); };
    hooks.send = [this](const window_report& report, auto done) { sendReport(report, std::move(done)); };
    hooks.total = [this](window_index window) { return m_collector.total(window); };
    hooks.fleetSize = [this] { return m_state.members.size(); };
    hooks.oldestWindow = [this] { return m_collector.oldestWindow(); };
    hooks.windowAt = [this](monotonic_time time) { return m_state.usage.windowAt(time); };
    hooks.sinceEnd = [this](window_index window, monotonic_time now) { return m_state.usage.sinceEnd(window, now); };
    return hooks;
}

void usage_duty::sendReport(const window_report& report, duty_caller::done_callback done)
{
    m_caller.call(
        m_port.encodeUsageReport(report, m_state.settings.instance),
        [this, token = report.token] { return m_lease.timeLeft(token); }, std::move(done));
}

bool usage_duty::isCandidate(monotonic_time now) const
{
    const auto& members = m_state.members;
    // A leaving instance does not renew, and one that is not ready has not found the others yet.
    if (m_state.isLeaving || !members.isSelfReady())
        return false;
    const bool isHolder = m_lease.token() != 0;
    if (!members.usesRelays())
        return isHolder || members.rankAmongReachable(now) < candidatesWithoutRelays;
    // Both relays receive all counts, so a holder that is no longer the first may go on.
    return members.isRelay(now) && (isHolder || members.isFirstRelay(now));
}

void usage_duty::tick()
{
    if (!isEnabled())
        return;
    const auto now = monotonicNow();
    observeClock(now);
    const auto current = m_state.usage.windowAt(now);
    m_rounds.erase(m_rounds.begin(), m_rounds.lower_bound(current - openWindows));
    for (auto window = current - openWindows; window < current; ++window)
        sendDueCounts(window, now);
    m_lease.poll(isCandidate(now));
    m_reporter.poll(now);
}

void usage_duty::observeClock(monotonic_time now)
{
    const auto system = std::chrono::system_clock::now().time_since_epoch();
    if (m_state.usage.observeClock(std::chrono::duration_cast<microseconds>(system), now))
        event_line(log_level::warn, "usage.clock_stepped").with("window", m_state.usage.windowAt(now));
}

void usage_duty::sendDueCounts(window_index window, monotonic_time now)
{
    const auto sinceEnd = m_state.usage.sinceEnd(window, now);
    auto& sent = m_rounds[window];
    if (const int due = m_schedule.instanceRounds(sinceEnd); due > sent.instance) {
        sent.instance = due;
        sendCounts(window, now);
    }
    if (const int due = m_schedule.regionRounds(sinceEnd); due > sent.region) {
        sent.region = due;
        sendSum(window, now);
    }
}

void usage_duty::sendCounts(window_index window, monotonic_time now)
{
    const auto& members = m_state.members;
    usage_counts counts;
    counts.instance = m_state.settings.instance.value();
    counts.incarnation = m_incarnation;
    counts.region = m_state.settings.region.value();
    counts.window = window;
    counts.requests = m_state.usage.countsOf(window);
    m_collector.recordInstance(counts, m_state.usage.windowAt(now));
    const std::string body = packMessage(counts);
    for (const auto& to : members.usesRelays() ? members.relays(now) : members.others())
        m_send(to.entryAddress, message_kind::usage_counts, body);
}

void usage_duty::sendSum(window_index window, monotonic_time now)
{
    const auto& members = m_state.members;
    if (!members.usesRelays() || !members.isRelay(now) || !members.isFirstRelay(now))
        return;
    auto sum = m_collector.sumOfRegion(m_state.settings.region.value(), window);
    sum.instance = m_state.settings.instance.value();
    sum.incarnation = m_incarnation;
    const std::string body = packMessage(sum);
    for (const auto& relay : members.relaysOfOtherRegions(now))
        m_send(relay, message_kind::usage_sum, body);
}

void usage_duty::sendLastCounts()
{
    if (!isEnabled())
        return;
    const auto now = monotonicNow();
    const auto current = m_state.usage.windowAt(now);
    for (auto window = current - 1; window <= current; ++window)
        sendCounts(window, now);
}

void usage_duty::receive(const envelope& message)
{
    if (!isEnabled())
        return;
    const auto counts = unpackMessage<usage_counts>(message.body);
    if (!counts) {
        event_line(log_level::warn, "peer.unreadable").with("peer", message.from.value()).with(counts.error());
        return;
    }
    const auto current = m_state.usage.windowAt(monotonicNow());
    if (message.kind != message_kind::usage_sum) {
        m_collector.recordInstance(*counts, current);
        return;
    }
    m_collector.recordRegion(*counts, current);
    forwardSum(message, *counts);
}

/// Passes on what came from another region: only the first relay of a region is known there, and the holder may be the
/// other one.
void usage_duty::forwardSum(const envelope& message, const usage_counts& sum)
{
    if (message.from.value() != sum.instance)
        return;
    for (const auto& relay : m_state.members.relays(monotonicNow()))
        m_send(relay.entryAddress, message_kind::usage_sum, message.body);
}

void usage_duty::addMetrics(metrics_text& text) const
{
    if (!isEnabled())
        return;
    const auto& tally = m_reporter.tally();
    const bool isHeld = m_lease.token() != 0;
    text.gauge(
        "flamingo_duty_held", "Whether this instance holds the duty.", { { "duty", leaseName } }, isHeld ? 1 : 0);
    // A counter, because a gauge is printed with six digits.
    text.counter("flamingo_duty_token", "Fencing token of the last term here.", { { "duty", leaseName } },
        m_reporter.lastToken());
    const std::string name = "flamingo_usage_windows_total";
    const std::string help = "Windows by what this instance did with them.";
    text.counter(name, help, { { "step", "recorded" } }, tally.recorded);
    text.counter(name, help, { { "step", "sent" } }, tally.sent);
    text.counter(name, help, { { "step", "confirmed" } }, tally.confirmed);
    text.counter(name, help, { { "step", "missed" } }, tally.missed);
}

} // namespace flamingoroute
