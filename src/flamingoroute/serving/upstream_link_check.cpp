#include "flamingoroute/serving/upstream_link_check.hpp"

#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/serving/serving_state.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>

namespace flamingoroute {

namespace asio = boost::asio;

namespace {

/// As for the connection of a request: several round trips between two regions.
constexpr milliseconds connectTimeout { 500 };
/// Upstreams of the own failure domain, of the rest of the own region, and of the other regions in one check: an
/// instance that is partitioned from some of these places still reaches upstreams.
constexpr std::array<std::size_t, 3> targetsByDistance { 2, 1, 1 };

std::size_t distanceTo(const upstream_state& upstream, const node_settings& settings)
{
    if (upstream.registration.failureDomain == settings.failureDomain)
        return 0;
    return upstream.region == settings.region ? 1 : 2;
}

} // namespace

struct upstream_link_check::open_check {
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    asio::steady_timer timer;
    std::size_t pending = 0;
    bool isDone = false;

    explicit open_check(asio::io_context& loop)
        : timer(loop)
    {
    }
};

upstream_link_check::upstream_link_check(serving_state& state, std::function<void()> onChange)
    : m_state(state)
    , m_onChange(std::move(onChange))
    , m_random(static_cast<std::minstd_rand::result_type>(monotonicNow().time_since_epoch().count()))
{
}

void upstream_link_check::tick(monotonic_time now)
{
    if (!m_state.link.isCheckDue(now))
        return;
    const auto targets = pickTargets();
    if (targets.empty())
        return;
    m_state.link.beginCheck(now);
    const auto check = std::make_shared<open_check>(m_state.loop);
    check->pending = targets.size();
    check->timer.expires_after(connectTimeout);
    check->timer.async_wait([this, check](const boost::system::error_code& cancelled) {
        if (!cancelled)
            finish(*check, false);
    });
    for (const auto& target : targets)
        connect(check, target);
}

std::vector<endpoint> upstream_link_check::pickTargets()
{
    std::array<std::vector<endpoint>, targetsByDistance.size()> candidates;
    for (const auto& [name, upstream] : m_state.upstreams.all())
        candidates[distanceTo(upstream, m_state.settings)].push_back(upstream.registration.address);
    std::vector<endpoint> targets;
    for (std::size_t distance = 0; distance < candidates.size(); ++distance)
        std::sample(candidates[distance].begin(), candidates[distance].end(), std::back_inserter(targets),
            targetsByDistance[distance], m_random);
    return targets;
}

void upstream_link_check::connect(const std::shared_ptr<open_check>& check, const endpoint& target)
{
    boost::system::error_code malformed;
    const auto address = asio::ip::make_address(target.address, malformed);
    check->sockets.push_back(std::make_shared<asio::ip::tcp::socket>(m_state.loop));
    check->sockets.back()->async_connect(asio::ip::tcp::endpoint(address, target.port),
        [this, check, socket = check->sockets.back()](const boost::system::error_code& failed) {
            --check->pending;
            if (!failed || check->pending == 0)
                finish(*check, !failed);
        });
}

void upstream_link_check::finish(open_check& check, bool hasConnected)
{
    if (std::exchange(check.isDone, true))
        return;
    check.timer.cancel();
    for (const auto& socket : check.sockets) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    const bool wasPartitioned = m_state.link.isPartitioned();
    const auto lastConnectedAt = m_state.link.lastConnectedAt();
    const auto now = monotonicNow();
    m_state.link.recordCheck(hasConnected, now);
    if (wasPartitioned == m_state.link.isPartitioned())
        return;
    event_line(log_level::warn, hasConnected ? "upstreams.reached" : "upstreams.partitioned")
        .with("checked", check.sockets.size())
        .with("last_connected_ms", std::chrono::duration_cast<milliseconds>(now - lastConnectedAt).count());
    m_onChange();
}

} // namespace flamingoroute
