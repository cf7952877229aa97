#ifndef FLAMINGOROUTE_RUNTIME_FLEET_GOSSIP_HPP
#define FLAMINGOROUTE_RUNTIME_FLEET_GOSSIP_HPP

#include "flamingoroute/concurrency/bounded_ring.hpp"
#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/peers/peer_bus.hpp"

#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <string>

namespace flamingoroute {

struct serving_state;

/// Tells the other instances of this one and hears of them. Messages arrive on nng's threads and reach the event loop
/// through a bounded ring; a full ring drops them.
class fleet_gossip {
public:
    /// @param onHeard called on the event loop after each report of another instance
    fleet_gossip(serving_state& state, std::function<void()> onHeard);
    ~fleet_gossip();

    tl::expected<void, error> start();
    void stop();

    /// Sends a report now, besides the steady ones.
    void report();

private:
    void tick();
    void drain();
    void take(const envelope& message);
    void takeNotice(const std::string& body);
    fleet_report ownReport() const;
    void announceBroken(const std::string& fingerprint, const upstream_id& upstream);

    serving_state& m_state;
    std::function<void()> m_onHeard;
    peer_bus m_bus;
    bounded_ring<envelope> m_ring;
    boost::asio::steady_timer m_timer;
    bool m_isStopped = false;
};

} // namespace flamingoroute

#endif
