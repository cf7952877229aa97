#ifndef FLAMINGOROUTE_CONFIG_CONFIG_REPLICA_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_REPLICA_HPP

#include "flamingoroute/config/config_head.hpp"
#include "flamingoroute/config/replica_action.hpp"
#include "flamingoroute/config/replica_peers.hpp"
#include "flamingoroute/config/replica_settings.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace flamingoroute {

/// Decides which configuration is active on an instance and distributes it by gossip.
///
/// A revision is adopted only when it is complete and higher than the active one, whichever source offers it. Only
/// missing chunks are fetched. Each event returns the actions that the caller must take; the replica performs no I/O.
class config_replica {
public:
    /// Returns a random number below its argument.
    using random_pick = std::function<std::size_t(std::size_t)>;

    config_replica(replica_settings settings, monotonic_time start, random_pick pick);

    void setPeers(replica_peers peers);

    /// Called when a peer offers its active configuration.
    replica_actions onOffer(const config_source& from, const config_offer& offer, monotonic_time now);

    /// Called when the platform's head was read or was delivered by a watch.
    replica_actions onStoreHead(const std::string& value, monotonic_time now);

    /// Called when a head or a chunk arrived.
    replica_actions onContent(const std::string& hash, const std::string& content, monotonic_time now);

    /// Called when a peer requests content.
    replica_actions onRequest(const config_source& from, const std::vector<std::string>& hashes);

    /// Must be called a few times per gossip interval.
    replica_actions onTick(monotonic_time now);

    const config_position& position() const { return m_position; }
    const configuration_ptr& current() const { return m_current; }

    /// @return the last position read from the platform
    const config_position& storePosition() const { return m_storePosition; }

    /// @return whether, at a tick after the startup period, a configuration was active and no higher one that was
    ///         offered was still being fetched. Never becomes false again.
    bool isReady() const { return m_isReady; }

private:
    struct chunk {
        std::string content;
        configuration_ptr objects;
    };

    struct fetch {
        monotonic_time deadline;
    };

    /// A higher revision that is being fetched.
    struct target {
        config_position position;
        std::deque<config_source> sources; ///< the next fetch goes to the first
        std::optional<config_head> head;
        std::string headValue;
        std::set<std::string> missing;
        std::map<std::string, chunk> fetched;
        std::map<std::string, fetch> outstanding;
        int timeoutRounds = 0;
    };

    void evaluateOffer(const config_source& from, const config_position& offered, replica_actions& actions);
    void updateTarget(const config_source& from, const config_position& offered, replica_actions& actions);
    void reportRevisionConflict(const config_source& from, const config_position& offered, replica_actions& actions);
    void acceptHead(const std::string& value, replica_actions& actions);
    void acceptChunk(const std::string& hash, const std::string& content, replica_actions& actions);
    void advanceTarget(monotonic_time now, replica_actions& actions);
    void dropExpiredFetches(monotonic_time now);
    void fetchMissing(monotonic_time now, replica_actions& actions);
    void adopt(replica_actions& actions);
    void push(const config_source& origin, replica_actions& actions);
    void gossip(monotonic_time now, replica_actions& actions);
    bool isLocal(const config_source& peer) const;
    void offerTo(const config_source& to, bool isReplyRequested, replica_actions& actions);
    void offerToSome(const std::vector<config_source>& peers, std::size_t count, replica_actions& actions);

    replica_settings m_settings;
    monotonic_time m_start;
    monotonic_time m_nextGossip;
    random_pick m_pick;
    replica_peers m_peers;
    config_position m_position;
    config_position m_storePosition;
    std::string m_headValue;
    std::map<std::string, chunk> m_chunks;
    configuration_ptr m_current;
    std::optional<target> m_target;
    config_position m_reported;
    bool m_isReady = false;
};

} // namespace flamingoroute

#endif
