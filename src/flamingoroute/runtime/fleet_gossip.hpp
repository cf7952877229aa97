#ifndef FLAMINGOROUTE_RUNTIME_FLEET_GOSSIP_HPP
#define FLAMINGOROUTE_RUNTIME_FLEET_GOSSIP_HPP

#include "flamingoroute/concurrency/bounded_ring.hpp"
#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/fleet/load_changes.hpp"
#include "flamingoroute/fleet/message_forwarder.hpp"
#include "flamingoroute/fleet/region_digest.hpp"
#include "flamingoroute/fleet/store_batch.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/requests/quarantine_exchange.hpp"

#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace flamingoroute {

struct member;
struct serving_state;

/// Exchanges reports and digests with the other instances. Messages arrive on nng's threads and reach the event loop
/// through a bounded ring; a full ring drops them.
class fleet_gossip {
public:
    /// Callbacks into the node, always called on the event loop.
    struct hooks {
        /// Called after each report or digest of another instance.
        std::function<void()> onPeerUpdate;
        /// Fills in the store fields of a relay's digest.
        std::function<void(region_digest&)> describeStore;
        /// Called for store changes that a relay forwarded.
        std::function<void(const store_batch&)> onBatch;
        /// Called for messages with usage counts.
        std::function<void(const envelope&)> onUsage;
    };

    fleet_gossip(serving_state& state, hooks callbacks);
    ~fleet_gossip();

    tl::expected<void, error> start();
    void stop();

    /// Sends a report now, in addition to the periodic ones.
    /// @param isUrgent whether relays should forward it at once
    void report(bool isUrgent);

    /// Sends a message to the peer address of another instance.
    void send(const endpoint& to, message_kind kind, const std::string& body) { m_bus.send(to, kind, body); }

    /// Forwards store changes to the instances of this region, if this instance is its first relay.
    void relayBatch(const store_batch& batch);

private:
    void tick();
    void drain();
    void handle(const envelope& message);
    void handleNotice(const envelope& message);
    fleet_report localReport() const;
    void reportSoon();
    /// Sends a digest, if this instance is a relay and the last digest is at least @p minGap old.
    /// @param isUrgent whether the first relay includes sums even if the last ones are recent
    void sendDigest(milliseconds minGap, bool isUrgent);
    void addSums(region_digest& digest, monotonic_time now);
    void sendToRegion(message_kind kind, const std::string& body);
    void handleForwarded(const envelope& message);
    /// Adds reported upstream loads to those that the next digest contains, and to the own estimates.
    void relayLoads(const std::vector<upstream_load>& loads, monotonic_time now);
    void takeLoads(const std::vector<upstream_load>& loads, monotonic_time now);
    void handleReport(const envelope& message);
    void handleDigest(const envelope& message);
    quarantine_exchange::hooks quarantineHooks();
    void sendNotice(const std::vector<member>& to, message_kind kind, const quarantine_notice& notice);

    serving_state& m_state;
    hooks m_hooks;
    monotonic_time m_reportedAt;
    monotonic_time m_digestAt;
    monotonic_time m_sumsAt;
    load_changes m_relayedLoads; ///< reported by the instances of the region, to be sent to all of them
    std::uint64_t m_incarnation;
    std::uint64_t m_digestNumber = 0; ///< of the last digest
    peer_bus m_bus;
    message_forwarder m_forwarder;
    bounded_ring<envelope> m_ring;
    quarantine_exchange m_quarantine;
    boost::asio::steady_timer m_timer;
    bool m_isStopped = false;
};

} // namespace flamingoroute

#endif
