#include "flamingoroute/placement/limit_share.hpp"

#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Fractions of the rate for the picked instances and for all others together.
constexpr double sendersFraction = 0.85;
constexpr double othersFraction = 0.1;
constexpr std::size_t minSenders = 2;
constexpr int senderBurst = 2;
/// An upstream that accepts less is asked this often, to notice when it accepts requests again.
constexpr double minPerSecond = 0.05;
constexpr double microsecondsPerSecond = 1e6;

microseconds intervalFor(std::size_t instances, double perSecond)
{
    return microseconds(static_cast<std::int64_t>(microsecondsPerSecond * static_cast<double>(instances) / perSecond));
}

} // namespace

limit_share limitShareOf(const instance_id& localInstance, const upstream_id& upstream, double perSecond,
    const std::vector<instance_id>& near, std::size_t fleetSize)
{
    const double rate = std::clamp(perSecond, minPerSecond, microsecondsPerSecond);
    // At least one request a second for each, as far as the rate allows.
    const auto wanted = std::max(minSenders, static_cast<std::size_t>(rate));
    const auto senders = pickByRendezvous(upstream.value(), near, std::min(wanted, near.size()));
    if (std::find(senders.begin(), senders.end(), localInstance) != senders.end())
        return { intervalFor(senders.size(), sendersFraction * rate), senderBurst };
    const auto others = std::max<std::size_t>(1, fleetSize - std::min(fleetSize, senders.size()));
    return { intervalFor(others, othersFraction * rate), 1 };
}

} // namespace flamingoroute
