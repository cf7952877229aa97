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

/// Divides the slots of a failure domain's upstreams among instances: the allocator's side. Pure.
///
/// For each instance the ledger holds an upper bound of what that instance may be using. The bounds of an upstream
/// never sum to more than its slots. A bound rises before the grant is sent and falls only
///  - when the instance says that it holds less, and no grant that it has not seen yet gives it more; or
///  - when the grants have lapsed, requests started under them are past their deadline, and, for an instance of the
///    same failure domain, the lease was confirmed after that, so that no successor has taken the slots over.
///
/// A new allocator manages only slots that instances report to it and that they promise, by naming its epoch, to
/// take from no older allocator any more. The rest stays reserved for the predecessor until that is proved gone.
class slot_ledger {
public:
    slot_ledger(failure_domain_id domain, steering_settings settings);

    /// @param upstreams those of the failure domain
    /// @param maxDeadline no request runs longer
    void adopt(std::vector<upstream> upstreams, milliseconds longestDeadline);

    /// @param bytesPerSecond what may be granted of the link to @p region
    void setLink(const std::string& region, double bytesPerSecond);

    /// Takes the role of the allocator.
    /// @param self who takes it
    void begin(const allocator_role& role, const instance_id& self, monotonic_time now);

    /// Tells an instance of the failure domain of the new epoch.
    void announce(const member& who);

    /// Gives the role up, at once and for good for this epoch.
    void end();

    bool isActive() const { return m_role.has_value(); }
    std::uint64_t epoch() const { return m_role ? m_role->epoch : 0; }

    /// The lease still stood when it was asked for at @p askedAt.
    void confirmLease(monotonic_time askedAt);

    /// @return whether slots are still reserved for earlier allocators
    bool hasReserve() const { return isActive() && !(m_role->predecessors.empty() && m_reservedUntil <= m_latest); }

    /// Nothing of an instance's incarnations below @p alive runs any more, but for requests already sent.
    void proveGone(const instance_id& gone, incarnation alive, monotonic_time now);

    /// No more slots of this upstream are granted, and those out are called back.
    /// @param isLeaving tell the instances that it takes no new work
    void close(const upstream_id& target, bool isClosed, bool isLeaving);

    /// Takes in a request, renewal or return.
    void receive(const slot_request& request, monotonic_time now);

    /// Works out what each instance may hold.
    /// @return the grants to be sent now
    std::vector<slot_grant> takeGrants(monotonic_time now);

    /// @return how long a request runs at most
    milliseconds longestDeadline() const { return m_longestDeadline; }

    /// @return slots of @p target that are promised away or reserved; at most its slots
    int committed(const upstream_id& target) const;

    /// @return instances that hold or may hold slots
    std::size_t holderCount() const { return m_holders.size(); }

private:
    struct position {
        int bound = 0; ///< what the instance may be using
        int ceiling = 0; ///< last granted
        int wanted = 0;
        int steady = 0;
        int target = 0; ///< what it shall get
    };
    struct holder {
        std::string instance;
        incarnation ownIncarnation = 0;
        std::string region;
        bool isLocal = false;
        std::uint64_t requestSeen = 0;
        std::uint64_t grantsSent = 0;
        std::uint64_t linkBytesWanted = 0;
        monotonic_time requestAt;
        monotonic_time sentAt;
        monotonic_time runsUntil; ///< nothing started under its grants runs later
        bool isReplyDue = false;
        bool isGone = false; ///< a newer incarnation runs
        std::map<std::string, position> positions;
        std::map<std::uint64_t, std::map<std::string, int>> unseen; ///< ceilings of grants that may still arrive

        int highestUnseen(const std::string& name) const;
    };
    struct stock {
        int slots = 0;
        int reserved = 0; ///< may be in use under the predecessor
        bool isClosed = false;
        bool isLeaving = false;
    };
    using holder_key = std::pair<std::string, incarnation>;

    slot_grant noticeFor(const std::string& instance, incarnation run) const;
    holder& holderOf(const slot_request& request);
    void inherit(const slot_request& request, holder& who);
    void settle(const slot_request& request, holder& who) const;
    bool hasLapsed(const holder& who) const;
    void noteRuns(holder& who) const;
    void reclaim(monotonic_time now);
    void dropPredecessor(const instance_id& gone, incarnation below, monotonic_time now);
    void releaseReserve(monotonic_time now);
    void allotAll();
    void fill(const std::vector<position*>& group, int position::*demand, int& left) const;
    void allot(const std::string& name, const stock& target);
    bool isGrantDue(const holder& who, monotonic_time now) const;
    slot_grant makeGrant(holder& who, monotonic_time now);
    milliseconds lifeFor(const holder& who) const;

    failure_domain_id m_domain;
    steering_settings m_settings;
    milliseconds m_longestDeadline { 5000 };
    std::optional<allocator_role> m_role;
    monotonic_time m_leaseConfirmedAt;
    monotonic_time m_reservedUntil; ///< counts once no predecessor is left
    monotonic_time m_latest; ///< the last time told
    bool m_isDirty = false;
    bool m_isScarce = false; ///< someone wants more than it got
    std::int64_t m_lastTurn = 0;
    std::vector<slot_grant> m_notices; ///< that tell an instance of this epoch
    std::map<std::string, stock> m_stocks;
    std::map<holder_key, holder> m_holders;
    std::map<std::string, incarnation> m_newest;
    std::map<std::string, byte_bucket> m_links;
};

} // namespace flamingoroute

#endif
