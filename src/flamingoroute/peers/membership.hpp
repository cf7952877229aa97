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

/// A heartbeat to send and its recipient.
struct heartbeat_message {
    instance_id to;
    process_role role = process_role::entry;
    heartbeat body;

    bool operator==(const heartbeat_message&) const = default;
};

/// Maintains the list of members and their states from seeds, the platform's lagging list, heartbeats and records
/// forwarded by other members.
///
/// Within a failure domain heartbeats form a full mesh: entry processes send to the entry and control processes of all
/// peers, control processes only to the control processes; the two processes of an instance also send to each other.
/// In a fleet of up to `maxFullMeshInstances` instances the mesh spans the whole fleet. In a larger fleet the bridges
/// of each failure domain exchange records with other domains, and changes are relayed within the domain.
class membership {
public:
    /// @return a number below its argument
    using random_pick = std::function<std::size_t(std::size_t)>;

    membership(
        member self, process_role role, incarnation localIncarnation, membership_settings settings, random_pick pick);

    /// @param seeds members from the settings; records from other members never change their addresses
    void addSeeds(const std::vector<member>& seeds);

    /// Sets what this process reports in its heartbeats.
    void setLocalState(revision activeRevision, bool isLeaving, std::optional<milliseconds> platformAge);

    /// @return messages to send in response
    std::vector<heartbeat_message> onHeartbeat(const instance_id& from, process_role role, incarnation fromIncarnation,
        const heartbeat& body, monotonic_time now);

    /// Records which members the platform lists. The list lags, so an unlisted member becomes gone only once it is also
    /// unresponsive.
    void onPlatformList(const std::vector<platform_instance>& listed, monotonic_time now);

    /// @return the messages that are due
    std::vector<heartbeat_message> onTick(monotonic_time now);

    /// @return all members, including this instance, sorted by name
    std::vector<member_status> members(monotonic_time now) const;

    /// @return whether this instance exchanges records with other failure domains
    bool isBridge(monotonic_time now) const;

    /// @return the bridges of the other failure domains
    std::vector<instance_id> remoteBridges(monotonic_time now) const;

    /// @return the latest time at which a sender of heartbeats had @p activeRevision active and observed it to be the
    /// platform's newest revision; nothing if there is none
    std::optional<monotonic_time> lastPlatformAnswerAt(revision activeRevision) const;

private:
    struct known_member {
        member memberInfo;
        std::optional<monotonic_time> entryLastSeenAt; ///< by its own heartbeat, or by a record that reports it live
        std::optional<monotonic_time> controlLastSeenAt;
        milliseconds interval { 0 };
        incarnation entryIncarnation = 0;
        revision entryRevision = 0;
        bool isLeaving = false;
        bool isGone = false;
        bool isSeed = false;
        std::optional<monotonic_time> unlistedSince;
    };

    using member_map = std::map<instance_id, known_member>;

    member_state stateOf(const known_member& existing, monotonic_time now) const;
    milliseconds interval() const;
    bool isDirect(const known_member& existing) const;
    std::size_t directCount() const;
    heartbeat localHeartbeat() const;
    member_record recordOfKnown(const known_member& existing, monotonic_time now) const;
    member_record localRecord() const;
    std::vector<member_record> records(bool isLocalDomainOnly, monotonic_time now) const;
    void appendRecordMessages(const instance_id& to, process_role role, const std::vector<member_record>& all,
        std::vector<heartbeat_message>& messages) const;
    bool applyRecord(const member_record& record, bool isFromSubject, monotonic_time now);
    void relay(const std::vector<member_record>& changed, bool isFromRemote, std::vector<heartbeat_message>& messages);
    void sendHeartbeats(std::vector<heartbeat_message>& messages);
    void sendDigest(monotonic_time now, std::vector<heartbeat_message>& messages);
    void sendRecordSample(monotonic_time now, std::vector<heartbeat_message>& messages);
    void evictGone(monotonic_time now);
    std::vector<instance_id> localPeers() const;
    std::vector<instance_id> bridgesOf(const failure_domain_id& domain, monotonic_time now) const;

    member m_self;
    process_role m_role;
    incarnation m_localIncarnation;
    membership_settings m_settings;
    random_pick m_pick;
    member_map m_members; ///< all members except this instance
    revision m_revision = 0;
    bool m_isLeaving = false;
    std::optional<milliseconds> m_platformAge;
    std::map<revision, monotonic_time> m_lastPlatformAnswers; ///< for the highest few revisions
    monotonic_time m_nextHeartbeat;
    monotonic_time m_nextDigest;
    monotonic_time m_nextRecords;
    int m_localRecordSendsLeft = 3; ///< heartbeat rounds that still carry the local record
};

} // namespace flamingoroute

#endif
