#ifndef FLAMINGOROUTE_PEERS_MEMBERSHIP_HPP
#define FLAMINGOROUTE_PEERS_MEMBERSHIP_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/peers/heartbeat.hpp"
#include "flamingoroute/peers/member_status.hpp"
#include "flamingoroute/peers/membership_settings.hpp"
#include "flamingoroute/store/platform_instance.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace flamingoroute {

/// A heartbeat to be sent.
struct heartbeat_message {
    instance_id to;
    process_role role = process_role::entry;
    heartbeat body;

    bool operator==(const heartbeat_message&) const = default;
};

/// Decides who the members are, from seeds, the platform's lagging list, heartbeats and records passed on by others.
///
/// In a failure domain everyone sends heartbeats to everyone; entries also to the controls. In a fleet of up to
/// `wholeFleetLimit` instances this goes for the whole fleet. In a larger one the bridges of each failure domain
/// exchange records, and changes are relayed within the domain.
class membership {
public:
    /// @return a number below its argument
    using random_pick = std::function<std::size_t(std::size_t)>;

    membership(member self, process_role role, incarnation own, membership_settings settings, random_pick pick);

    /// @param seeds members by the settings; their addresses stay as given, whatever others pass on
    void addSeeds(const std::vector<member>& seeds);

    /// What this process tells in its heartbeats.
    void setLocalState(revision inForce, bool isLeaving, std::optional<milliseconds> platformAge);

    /// @return answers to be sent
    std::vector<heartbeat_message> onHeartbeat(const instance_id& from, process_role role, incarnation fromIncarnation,
        const heartbeat& body, monotonic_time now);

    /// The platform's list lags: it makes members known as gone only once they are silent, too.
    void onPlatformList(const std::vector<platform_instance>& listed, monotonic_time now);

    /// @return heartbeats that are due
    std::vector<heartbeat_message> onTick(monotonic_time now);

    /// @return all members, this one included, sorted by name
    std::vector<member_status> members(monotonic_time now) const;

    /// @return whether this instance exchanges records with other failure domains
    bool isBridge(monotonic_time now) const;

    /// @return the bridges of the other failure domains
    std::vector<instance_id> remoteBridges(monotonic_time now) const;

    /// @return when any peer, or this process, last knew its revision, not above @p inForce, to be the newest
    std::optional<monotonic_time> platformSeenAt(revision inForce) const;

private:
    struct known_member {
        member where;
        std::optional<monotonic_time> entryHeard; ///< from itself, or as live from others
        std::optional<monotonic_time> controlHeard;
        milliseconds interval { 0 };
        incarnation entryIncarnation = 0;
        revision entryRevision = 0;
        bool isLeaving = false;
        bool isGone = false;
        bool isSeed = false;
        std::optional<monotonic_time> unlistedSince;
    };

    using member_map = std::map<instance_id, known_member>;

    member_state stateOf(const known_member& known, monotonic_time now) const;
    milliseconds interval() const;
    bool isDirect(const known_member& known) const;
    std::size_t directCount() const;
    heartbeat ownHeartbeat() const;
    member_record recordOfKnown(const known_member& known, monotonic_time now) const;
    member_record ownRecord() const;
    std::vector<member_record> records(bool isOwnDomainOnly, monotonic_time now) const;
    void split(const instance_id& to, process_role role, const std::vector<member_record>& all,
        std::vector<heartbeat_message>& messages) const;
    bool takeRecord(const member_record& record, bool isFromItself, monotonic_time now);
    void relay(const std::vector<member_record>& changed, bool isFromRemote, std::vector<heartbeat_message>& messages);
    void sendHeartbeats(std::vector<heartbeat_message>& messages);
    void sendDigest(monotonic_time now, std::vector<heartbeat_message>& messages);
    void sendSomeRecords(monotonic_time now, std::vector<heartbeat_message>& messages);
    void forgetGone(monotonic_time now);
    std::vector<instance_id> localPeers() const;
    std::vector<instance_id> bridgesOf(const failure_domain_id& domain, monotonic_time now) const;

    member m_self;
    process_role m_role;
    incarnation m_own;
    membership_settings m_settings;
    random_pick m_pick;
    member_map m_members; ///< the others
    revision m_revision = 0;
    bool m_isLeaving = false;
    std::optional<milliseconds> m_platformAge;
    std::map<revision, monotonic_time> m_platformSeen; ///< the last few
    monotonic_time m_nextHeartbeat;
    monotonic_time m_nextDigest;
    monotonic_time m_nextRecords;
    int m_ownRecordsLeft = 3; ///< heartbeats that still carry the own record
};

} // namespace flamingoroute

#endif
