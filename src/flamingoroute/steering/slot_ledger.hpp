#ifndef FLAMINGOROUTE_STEERING_SLOT_LEDGER_HPP
#define FLAMINGOROUTE_STEERING_SLOT_LEDGER_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/steering/allocator_role.hpp"
#include "flamingoroute/steering/internal/byte_bucket.hpp"
#include "flamingoroute/steering/slot_grant.hpp"
#include "flamingoroute/steering/slot_request.hpp"
#include "flamingoroute/steering/steering_settings.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Divides the slots of a failure domain's upstreams among instances: the allocator's side. Pure: no I/O, clocks
/// or threads.
///
/// For each instance the ledger keeps an upper bound of the slots that the instance may be using. The bounds of an
/// upstream never sum to more than its slots. A bound rises before the grant is sent and falls only
///  - when the instance reports that it holds less, and no grant that it has not received yet gives it more; or
///  - when the grants have expired, requests started under them are past their deadline, and, for an instance of the
///    same failure domain, the lease was confirmed after that, so that no successor has taken the slots over.
///
/// A new allocator manages only slots that instances report to it with its epoch, which commits them to accept no
/// grants of older allocators. The rest stays reserved for the predecessor until its termination is confirmed.
class slot_ledger {
public:
    slot_ledger(failure_domain_id domain, steering_settings settings);

    /// @param upstreams those of the failure domain
    /// @param maxDeadline no request runs longer
    void adopt(std::vector<upstream> upstreams, milliseconds maxDeadline);

    /// @param bytesPerSecond the rate that may be granted on the link to @p region
    void setLink(const std::string& region, double bytesPerSecond);

    /// Starts the allocator role.
    /// @param localInstance the instance that takes the role
    void begin(const allocator_role& role, const instance_id& localInstance, monotonic_time now);

    /// Queues a notice of the new epoch for an instance of the failure domain.
    void notifyOfEpoch(const member& owner);

    /// Ends the role immediately and permanently for this epoch.
    void end();

    bool isActive() const { return m_role.has_value(); }
    std::uint64_t epoch() const { return m_role ? m_role->epoch : 0; }

    /// Records that the lease was still held when its renewal was sent at @p requestedAt.
    void confirmLease(monotonic_time requestedAt);

    /// @return whether slots are still reserved for earlier allocators
    bool hasReserve() const { return isActive() && !(m_role->predecessors.empty() && m_reservedUntil <= m_latestTime); }

    /// Records that incarnations of an instance below @p liveIncarnation have terminated; requests that they sent may
    /// still run.
    void confirmTerminated(const instance_id& instance, incarnation liveIncarnation, monotonic_time now);

    /// Closes an upstream, or opens it again.
    /// @param isClosed grant no more slots of this upstream, and revoke the granted ones
    /// @param isLeaving report to the instances that the upstream takes no new work
    void close(const upstream_id& target, bool isClosed, bool isLeaving);

    /// Processes a request, renewal or return.
    void receive(const slot_request& request, monotonic_time now);

    /// Computes how many slots each instance may hold.
    /// @return the grants to be sent now
    std::vector<slot_grant> takeGrants(monotonic_time now);

    /// @return the maximum time that a request runs
    milliseconds maxDeadline() const { return m_maxDeadline; }

    /// @return slots of @p target that are granted or reserved; at most its slots
    int committed(const upstream_id& target) const;

    /// @return instances that hold or may hold slots
    std::size_t holderCount() const { return m_holders.size(); }

private:
    struct position {
        int bound = 0; ///< upper bound of the slots that the instance may be using
        int ceiling = 0; ///< last granted
        int demand = 0;
        int averageDemand = 0;
        int target = 0; ///< slots that it should get
    };
    struct holder {
        std::string instance;
        incarnation ownIncarnation = 0;
        std::string region;
        bool isLocal = false;
        std::uint64_t lastReceivedRequest = 0;
        std::uint64_t grantsSent = 0;
        std::uint64_t linkBytesWanted = 0;
        monotonic_time requestAt;
        monotonic_time sentAt;
        monotonic_time runsUntil; ///< no request started under its grants runs later
        bool isReplyDue = false;
        bool isSuperseded = false; ///< a newer incarnation runs
        std::map<std::string, position> positions;
        std::map<std::uint64_t, std::map<std::string, int>>
            unacknowledgedGrants; ///< ceilings of grants that may still arrive

        int highestUnacknowledged(const std::string& name) const;
    };
    struct upstream_capacity {
        int slots = 0;
        int reserved = 0; ///< may be in use under the predecessor
        bool isClosed = false;
        bool isLeaving = false;
    };
    using holder_key = std::pair<std::string, incarnation>;

    slot_grant noticeFor(const std::string& instance, incarnation run) const;
    holder& holderOf(const slot_request& request);
    void inherit(const slot_request& request, holder& owner);
    void updatePositions(const slot_request& request, holder& owner) const;
    bool areGrantsExpired(const holder& owner) const;
    void extendRunsUntil(holder& owner) const;
    void reclaim(monotonic_time now);
    void dropPredecessor(const instance_id& instance, incarnation below, monotonic_time now);
    void releaseReserve(monotonic_time now);
    void allocateAll();
    void distribute(const std::vector<position*>& group, int position::*demandField, int& left) const;
    void allocate(const std::string& name, const upstream_capacity& target);
    bool isGrantDue(const holder& owner, monotonic_time now) const;
    slot_grant makeGrant(holder& owner, monotonic_time now);
    milliseconds lifetimeFor(const holder& owner) const;

    failure_domain_id m_domain;
    steering_settings m_settings;
    milliseconds m_maxDeadline { 5000 };
    std::optional<allocator_role> m_role;
    monotonic_time m_leaseConfirmedAt;
    monotonic_time m_reservedUntil; ///< applies once no predecessor is left
    monotonic_time m_latestTime; ///< the time of the last begin, receive or takeGrants
    bool m_isDirty = false;
    bool m_isScarce = false; ///< the demand of an instance exceeds the slots granted to it
    std::int64_t m_lastTurn = 0;
    std::vector<slot_grant> m_notices; ///< of this epoch, to be sent to instances
    std::map<std::string, upstream_capacity> m_capacities;
    std::map<holder_key, holder> m_holders;
    std::map<std::string, incarnation> m_newestIncarnations;
    std::map<std::string, byte_bucket> m_links;
};

} // namespace flamingoroute

#endif
