#include "flamingoroute/placement/cold_gate.hpp"

#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t sendersPerUpstream = 2;
/// Share of the bound that the picked senders use together. Below one half, because instances with different member
/// lists may pick different senders at the same time.
constexpr double usedShare = 0.45;
constexpr double microsecondsPerSecond = 1e6;
constexpr std::size_t maxTrackedUpstreams = 4096;

} // namespace

cold_gate::cold_gate(instance_id localInstance, double rateFactor, double slack)
    : m_localInstance(std::move(localInstance))
    , m_rateFactor(rateFactor)
    , m_slack(slack)
{
}

microseconds cold_gate::minInterval(double coldRate) const
{
    const double perSecond
        = std::max(1.0, usedShare * (coldRate * m_rateFactor + m_slack) / static_cast<double>(sendersPerUpstream));
    return microseconds(static_cast<std::int64_t>(microsecondsPerSecond / perSecond));
}

cold_gate::sender_state& cold_gate::stateOf(const upstream_id& upstream) const
{
    if (m_senders.size() >= maxTrackedUpstreams && !m_senders.contains(upstream))
        m_senders.clear();
    return m_senders[upstream];
}

bool cold_gate::maySend(
    const upstream_id& upstream, const instance_group& members, double coldRate, monotonic_time now) const
{
    if (coldRate <= 0)
        return true;
    auto& state = stateOf(upstream);
    if (!state.isKnown || state.membersRevision != members.revision) {
        const auto senders = pickByRendezvous(upstream.value(), members.names, sendersPerUpstream);
        state.isPicked = std::find(senders.begin(), senders.end(), m_localInstance) != senders.end();
        state.membersRevision = members.revision;
        state.isKnown = true;
    }
    return state.isPicked
        && (state.lastSentAt == monotonic_time::min() || now - state.lastSentAt >= minInterval(coldRate));
}

void cold_gate::recordSent(const upstream_id& upstream, monotonic_time now) { stateOf(upstream).lastSentAt = now; }

} // namespace flamingoroute
