#ifndef FLAMINGOROUTE_RUNTIME_FLEET_GOSSIP_HPP
#define FLAMINGOROUTE_RUNTIME_FLEET_GOSSIP_HPP

#include "flamingoroute/concurrency/bounded_ring.hpp"
#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/fleet/region_digest.hpp"
#include "flamingoroute/fleet/store_batch.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
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
    /// What the gossip asks of its node and tells it, always on the event loop.
    struct hooks {
        /// Called after each report or digest of another instance.
        std::function<void()> onHeard;
        /// Fills in what a relay's digest says of the store.
        std::function<void(region_digest&)> describeStore;
        /// Called for changes of the store that a relay passed on.
        std::function<void(const store_batch&)> onBatch;
    };

    fleet_gossip(serving_state& state, hooks tell);
    ~fleet_gossip();

    tl::expected<void, error> start();
    void stop();

    /// Sends a report now, besides the steady ones.
    /// @param isUrgent whether relays should pass it on at once
    void report(bool isUrgent);

    /// Passes changes of the store on to the instances of this region, if this instance is a relay.
    void relayBatch(const store_batch& batch);

private:
    void tick();
    void drain();
    void take(const envelope& message);
    void takeNotice(const std::string& body);
    fleet_report ownReport() const;
    void reportSoon();
    /// Sends a digest, if this instance is a relay and the last one is at least @p leastGap ago.
    /// @param isUrgent whether it must tell sums, also if the last ones are not old
    void sendDigest(milliseconds leastGap, bool isUrgent);
    void addSums(region_digest& digest, monotonic_time now);
    void takeReport(const envelope& message);
    void takeDigest(const envelope& message);
    void forwardNotice(const std::string& body);
    void announceBroken(const std::string& fingerprint, const upstream_id& upstream);

    serving_state& m_state;
    hooks m_tell;
    monotonic_time m_reportedAt;
    monotonic_time m_digestAt;
    monotonic_time m_sumsAt;
    peer_bus m_bus;
    bounded_ring<envelope> m_ring;
    boost::asio::steady_timer m_timer;
    bool m_isStopped = false;
};

} // namespace flamingoroute

#endif
