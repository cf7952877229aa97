#include "flamingoroute/runtime/fleet_gossip.hpp"

#include "flamingoroute/fleet/forwarded_message.hpp"
#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/incarnation_clock.hpp"
#include "flamingoroute/serving/serving_state.hpp"

#include <boost/asio/post.hpp>

namespace flamingoroute {

namespace {

/// Three consecutive lost reports make an instance count as unreachable, which becomes visible to callers within two
/// seconds.
constexpr milliseconds reportInterval { 500 };
constexpr milliseconds minDigestGap { 300 };
/// Between two digests with sums, unless an instance sends an urgent report.
constexpr milliseconds minSumsGap { 900 };
/// Between a report and an additional, urgent one.
constexpr milliseconds minReportGap { 100 };
constexpr std::size_t ringCapacity = 1024;
/// Lower demand is omitted from reports.
constexpr double minReportedDemand = 0.05;
/// About the answers that an instance gets between two reports.
constexpr std::size_t maxLoadsPerReport = 24;
/// Bounds the bytes of a digest whatever the number of upstreams.
constexpr std::size_t maxLoadsPerDigest = 128;

void logUnreadable(const envelope& message, const error& failure)
{
    event_line(log_level::warn, "peer.unreadable").with("peer", message.from.value()).with(failure);
}

} // namespace

fleet_gossip::fleet_gossip(serving_state& state, hooks callbacks)
    : m_state(state)
    , m_hooks(std::move(callbacks))
    , m_incarnation(newIncarnation())
    , m_bus(state.settings.instance, process_role::entry, m_incarnation)
    , m_forwarder(
          state.members,
          [this](const endpoint& to, std::uint8_t kind, const std::string& body) {
              m_bus.send(to, static_cast<message_kind>(kind), body);
          },
          [this](const endpoint& to, const forwarded_message& message) {
              m_bus.send(to, message_kind::forwarded, packMessage(message));
          })
    , m_ring(ringCapacity)
    , m_quarantine(state.quarantine, quarantineHooks())
    , m_timer(state.loop)
{
    m_state.reportSoon = [this] { reportSoon(); };
    m_state.reportBrokenConnection = [this](const std::string& fingerprint, const upstream_id& upstream) {
        m_quarantine.reportBroken(fingerprint, upstream, monotonicNow());
    };
}

fleet_gossip::~fleet_gossip() { stop(); }

void fleet_gossip::reportSoon()
{
    const auto now = monotonicNow();
    if (now - m_reportedAt >= minReportGap)
        report(true);
}

tl::expected<void, error> fleet_gossip::start()
{
    const auto started = m_bus.listen(m_state.settings.peerAddress, [this](const envelope& message) {
        if (m_ring.push(message))
            boost::asio::post(m_state.loop, [this] { drain(); });
    });
    if (started)
        tick();
    return started;
}

void fleet_gossip::stop()
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    m_timer.cancel();
    m_bus.stop();
}

void fleet_gossip::tick()
{
    if (m_isStopped)
        return;
    // First, so that the ticks go on after one that throws.
    m_timer.expires_after(reportInterval);
    m_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            tick();
    });
    report(false);
    sendDigest(reportInterval / 2, false);
}

fleet_report fleet_gossip::localReport() const
{
    const auto& self = m_state.members.self();
    fleet_report report;
    report.instance = self.instance.value();
    report.failureDomain = self.failureDomain.value();
    report.region = self.region.value();
    report.callerAddress = toString(self.callerAddress);
    report.peerAddress = toString(self.entryAddress);
    report.isReady = m_state.members.isSelfReady();
    report.isLeaving = m_state.isLeaving;
    report.reachesUpstreams = m_state.members.selfReachesUpstreams();
    report.hasFullWindow = m_state.rates.hasFullWindow(monotonicNow());
    for (const auto& [customer, usage] : m_state.rates.usage(monotonicNow())) {
        if (usage.demand >= minReportedDemand || usage.admitted > 0)
            report.demand.push_back(
                { customer.value(), static_cast<float>(usage.demand), static_cast<std::uint32_t>(usage.admitted) });
    }
    report.tallies = m_state.versions.tallies(monotonicNow());
    return report;
}

void fleet_gossip::report(bool isUrgent)
{
    m_reportedAt = monotonicNow();
    auto local = localReport();
    local.isUrgent = isUrgent;
    m_state.members.recordLocalReport(local, m_reportedAt);
    if (m_state.members.usesRelays()) {
        local.loads = m_state.measuredLoads.take(maxLoadsPerReport, m_reportedAt);
        relayLoads(local.loads, m_reportedAt);
    }
    const std::string body = packMessage(local);
    const auto to = m_state.members.usesRelays() ? m_state.members.relays(monotonicNow()) : m_state.members.others();
    for (const auto& other : to)
        m_bus.send(other.entryAddress, message_kind::fleet_report, body);
}

void fleet_gossip::sendDigest(milliseconds minGap, bool isUrgent)
{
    const auto now = monotonicNow();
    const bool isDue = m_state.members.usesRelays() && now - m_digestAt >= minGap;
    if (!isDue || !m_state.members.isRelay(now))
        return;
    m_digestAt = now;
    region_digest digest;
    digest.sender = m_state.settings.instance.value();
    digest.incarnation = m_incarnation;
    digest.number = ++m_digestNumber;
    digest.senderAddress = toString(m_state.settings.peerAddress);
    digest.sum.region = m_state.settings.region.value();
    digest.hasSums = m_state.members.isFirstRelay(now) && (isUrgent || now - m_sumsAt >= minSumsGap);
    if (digest.hasSums)
        addSums(digest, now);
    digest.members = m_state.members.memberReadiness(now);
    m_hooks.describeStore(digest);
    m_state.members.recordDigest(digest, now);
    // The second relay has the same loads; it would double the bytes.
    if (m_state.members.isFirstRelay(now))
        digest.loads = m_relayedLoads.take(maxLoadsPerDigest, now);
    sendToRegion(message_kind::region_digest, packMessage(digest));
}

void fleet_gossip::sendToRegion(message_kind kind, const std::string& body)
{
    m_forwarder.sendToRegion(static_cast<std::uint8_t>(kind), body, monotonicNow());
}

void fleet_gossip::addSums(region_digest& digest, monotonic_time now)
{
    m_sumsAt = now;
    digest.sum = m_state.members.sumOfRegion(now);
    const std::string body = packMessage(digest);
    for (const auto& relay : m_state.members.relaysOfOtherRegions(now))
        m_bus.send(relay, message_kind::region_digest, body);
    for (const auto& sum : m_state.members.digests().freshSums(now)) {
        if (sum.region != digest.sum.region)
            digest.others.push_back(sum);
    }
}

void fleet_gossip::relayBatch(const store_batch& batch)
{
    const auto now = monotonicNow();
    if (!m_state.members.usesRelays() || !m_state.members.isRelay(now) || !m_state.members.isFirstRelay(now))
        return;
    // Twice, by different instances: one that misses a batch has to read the store.
    const std::string body = packMessage(batch);
    sendToRegion(message_kind::store_batch, body);
    sendToRegion(message_kind::store_batch, body);
}

quarantine_exchange::hooks fleet_gossip::quarantineHooks()
{
    const auto& members = m_state.members;
    quarantine_exchange::hooks result;
    result.currentRole = [&members](monotonic_time now) {
        if (!members.usesRelays())
            return quarantine_exchange::role::peer;
        if (!members.isRelay(now))
            return quarantine_exchange::role::member;
        return members.isFirstRelay(now) ? quarantine_exchange::role::first_relay : quarantine_exchange::role::relay;
    };
    result.sendToRelays = [this, &members](const quarantine_notice& notice) {
        sendNotice(members.relays(monotonicNow()), message_kind::quarantine_forward, notice);
    };
    result.sendToOtherRegions = [this, &members](const quarantine_notice& notice) {
        const std::string body = packMessage(notice);
        for (const auto& relay : members.relaysOfOtherRegions(monotonicNow()))
            m_bus.send(relay, message_kind::quarantine_notice, body);
    };
    result.sendToRegion = [this, &members](const quarantine_notice& notice) {
        sendNotice(members.regionOthers(), message_kind::quarantine_notice, notice);
    };
    result.sendToAll = [this, &members](const quarantine_notice& notice) {
        sendNotice(members.others(), message_kind::quarantine_notice, notice);
    };
    return result;
}

void fleet_gossip::sendNotice(const std::vector<member>& to, message_kind kind, const quarantine_notice& notice)
{
    const std::string body = packMessage(notice);
    for (const auto& other : to)
        m_bus.send(other.entryAddress, kind, body);
}

void fleet_gossip::drain()
{
    while (auto message = m_ring.pop()) {
        if (!m_isStopped)
            handle(*message);
    }
}

void fleet_gossip::handle(const envelope& message)
{
    switch (message.kind) {
    case message_kind::fleet_report:
        handleReport(message);
        return;
    case message_kind::region_digest:
        handleDigest(message);
        return;
    case message_kind::store_batch:
        if (const auto batch = unpackMessage<store_batch>(message.body))
            m_hooks.onBatch(*batch);
        else
            logUnreadable(message, batch.error());
        return;
    case message_kind::forwarded:
        handleForwarded(message);
        return;
    case message_kind::quarantine_forward:
    case message_kind::quarantine_notice:
        handleNotice(message);
        return;
    case message_kind::usage_counts:
    case message_kind::usage_sum:
        m_hooks.onUsage(message);
        return;
    default:
        return;
    }
}

void fleet_gossip::handleForwarded(const envelope& message)
{
    const auto forwarded = unpackMessage<forwarded_message>(message.body);
    if (!forwarded) {
        logUnreadable(message, forwarded.error());
        return;
    }
    envelope inner = message;
    inner.kind = static_cast<message_kind>(forwarded->kind);
    inner.body = forwarded->body;
    if (inner.kind != message_kind::region_digest && inner.kind != message_kind::store_batch) {
        event_line(log_level::warn, "peer.not_forwarded")
            .with("peer", message.from.value())
            .with("kind", forwarded->kind);
        return;
    }
    // First, since the message may change which instances are known to serve.
    m_forwarder.forward(*forwarded, message.from, monotonicNow());
    handle(inner);
}

void fleet_gossip::relayLoads(const std::vector<upstream_load>& loads, monotonic_time now)
{
    if (!m_state.members.isRelay(now) || !m_state.members.isFirstRelay(now))
        return;
    for (const auto& load : loads)
        m_relayedLoads.record(load, now);
}

void fleet_gossip::takeLoads(const std::vector<upstream_load>& loads, monotonic_time now)
{
    // Slow answers of upstreams that look full are no evidence against a version, so that a slow version would be
    // hidden.
    if (m_state.versions.hasOrders())
        return;
    for (const auto& load : loads)
        m_state.upstreams.recordFleetLoad(load.upstream, load.requests, now - milliseconds(load.ageMs));
}

void fleet_gossip::handleReport(const envelope& message)
{
    const auto report = unpackMessage<fleet_report>(message.body);
    if (!report) {
        logUnreadable(message, report.error());
        return;
    }
    const auto now = monotonicNow();
    m_state.members.recordReport(*report, now);
    if (m_state.members.usesRelays()) {
        relayLoads(report->loads, now);
        takeLoads(report->loads, now);
    }
    if (report->isUrgent)
        sendDigest(minDigestGap, true);
    m_hooks.onPeerUpdate();
}

void fleet_gossip::handleDigest(const envelope& message)
{
    const auto digest = unpackMessage<region_digest>(message.body);
    if (!digest) {
        logUnreadable(message, digest.error());
        return;
    }
    const auto now = monotonicNow();
    if (m_state.members.recordDigest(*digest, now))
        takeLoads(digest->loads, now);
    m_hooks.onPeerUpdate();
}

void fleet_gossip::handleNotice(const envelope& message)
{
    const auto notice = unpackMessage<quarantine_notice>(message.body);
    if (!notice)
        logUnreadable(message, notice.error());
    else if (message.kind == message_kind::quarantine_forward)
        m_quarantine.receiveReport(*notice, monotonicNow());
    else
        m_quarantine.receive(*notice, monotonicNow());
}

} // namespace flamingoroute
