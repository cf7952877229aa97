#include "flamingoroute/runtime/fleet_gossip.hpp"

#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/requests/quarantine_notice.hpp"
#include "flamingoroute/runtime/incarnation_clock.hpp"
#include "flamingoroute/serving/serving_state.hpp"

#include <boost/asio/post.hpp>

namespace flamingoroute {

namespace {

/// Three lost reports in a row make an instance count as gone, which callers notice within two seconds.
constexpr milliseconds reportInterval { 500 };
constexpr std::size_t ringCapacity = 1024;
/// Demand below this is left out of reports.
constexpr double leastDemand = 0.05;

} // namespace

fleet_gossip::fleet_gossip(serving_state& state, std::function<void()> onHeard)
    : m_state(state)
    , m_onHeard(std::move(onHeard))
    , m_bus(state.settings.instance, process_role::entry, newIncarnation())
    , m_ring(ringCapacity)
    , m_timer(state.loop)
{
    m_state.announceBroken = [this](const std::string& fingerprint, const upstream_id& upstream) {
        announceBroken(fingerprint, upstream);
    };
}

fleet_gossip::~fleet_gossip() { stop(); }

tl::expected<void, error> fleet_gossip::start()
{
    const auto started = m_bus.listen(m_state.settings.peers, [this](const envelope& message) {
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
    report();
    m_timer.expires_after(reportInterval);
    m_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            tick();
    });
}

fleet_report fleet_gossip::ownReport() const
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
    report.isSettled = m_state.rates.isSettled(monotonicNow());
    for (const auto& [customer, usage] : m_state.rates.usage(monotonicNow())) {
        if (usage.demand >= leastDemand || usage.admitted > 0)
            report.demand.push_back({ customer.value(), usage.demand, static_cast<std::uint32_t>(usage.admitted) });
    }
    report.tallies = m_state.versions.tallies(monotonicNow());
    return report;
}

void fleet_gossip::report()
{
    const auto own = ownReport();
    m_state.members.noteOwnReport(own);
    const std::string body = packBody(own);
    for (const auto& other : m_state.members.others())
        m_bus.send(other.entryAddress, message_kind::fleet_report, body);
}

void fleet_gossip::announceBroken(const std::string& fingerprint, const upstream_id& upstream)
{
    const std::string body = packBody(quarantine_notice { fingerprint, upstream.value(), 0 });
    for (const auto& other : m_state.members.others())
        m_bus.send(other.entryAddress, message_kind::quarantine_notice, body);
}

void fleet_gossip::drain()
{
    while (auto message = m_ring.pop()) {
        if (!m_isStopped)
            take(*message);
    }
}

void fleet_gossip::take(const envelope& message)
{
    if (message.kind == message_kind::quarantine_notice) {
        takeNotice(message.body);
        return;
    }
    if (message.kind != message_kind::fleet_report)
        return;
    const auto report = unpackBody<fleet_report>(message.body);
    if (!report) {
        event_line(log_level::warn, "peer.unreadable").with("peer", message.from.value()).with(report.error());
        return;
    }
    m_state.members.noteReport(*report, monotonicNow());
    m_onHeard();
}

void fleet_gossip::takeNotice(const std::string& body)
{
    const auto notice = unpackBody<quarantine_notice>(body);
    if (!notice) {
        event_line(log_level::warn, "peer.unreadable").with(notice.error());
        return;
    }
    m_state.quarantine.noteBroken(
        notice->fingerprint, upstream_id(notice->upstreamName), milliseconds(notice->ageMs), monotonicNow());
}

} // namespace flamingoroute
