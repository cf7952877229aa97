#ifndef FLAMINGOROUTE_LIMITS_SHARE_MACHINE_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_MACHINE_HPP

#include "flamingoroute/limits/admission.hpp"
#include "flamingoroute/limits/admission_decision.hpp"
#include "flamingoroute/limits/demand_meter.hpp"
#include "flamingoroute/limits/internal/grant_pool.hpp"
#include "flamingoroute/limits/internal/received_grants.hpp"
#include "flamingoroute/limits/limit_message.hpp"
#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/limits/token_bucket.hpp"
#include "flamingoroute/model/ids.hpp"

#include <deque>
#include <vector>

namespace flamingoroute {

/// State machine of one instance for the rate and burst of one customer: its floor, the grants that it has received,
/// the pool if it holds it, loans between floors while no pool responds, and the waiting requests. Pure: no I/O, clocks
/// or threads. Each event is passed with the time; the caller collects messages and decisions. Over any time t, all
/// share machines of a customer together admit at most rate x t + burst requests.
class share_machine {
public:
    /// @param customer whose requests are counted
    /// @param localInstance this instance
    /// @param localIncarnation of the process that admits requests
    /// @param now initial value of the sequence of usage reports, which must not repeat when a machine is created again
    share_machine(customer_id customer, instance_id localInstance, incarnation localIncarnation,
        const limit_settings& settings, monotonic_time now);

    /// Requests a token for a request.
    /// @param request identifies the request in a later decision
    /// @param deadline the request is refused if it has no token by then
    admission requestToken(monotonic_time now, std::uint64_t request, monotonic_time deadline);

    /// Removes a waiting request that its caller has abandoned.
    void cancel(std::uint64_t request);

    /// A grant of a pool, or a loan, to this instance.
    void onGrant(monotonic_time now, const share_grant& grant);

    /// A request of another instance to the pool here, or for a loan.
    void onRequest(monotonic_time now, const instance_id& from, const share_request& request);

    /// This instance's part of the table.
    void onAssignment(monotonic_time now, const share_assignment& assignment);

    /// A lease of the pool, sent by the control process of this instance.
    void onLease(monotonic_time now, const pool_lease& lease);

    /// Serves and refuses waiting requests, requests grants, sends reports. To be called every few milliseconds.
    void tick(monotonic_time now);

    /// @return messages to be sent, in order; one without a receiver may go to any other instance
    std::vector<limit_message> takeMessages();

    /// @return requests whose wait has ended
    std::vector<admission_decision> takeDecisions();

    /// @return when a refused caller should try again
    milliseconds retryAfter(monotonic_time now);

    /// @return true if the customer has had no traffic here for the idle timeout and no floor, pool, grant or loan is
    /// left
    bool isRemovable(monotonic_time now);

    /// @return whether the instance that holds the pool is known here
    bool isPoolKnown() const { return !m_poolInstance.empty(); }

    /// @return whether this instance may use a floor now
    bool hasFloor(monotonic_time now) const { return isFloorValid(now) && m_floor.currentShare() != share {}; }

    /// @return rate and depth that this instance may use now, floor and pool together
    share shareInUse(monotonic_time now);

private:
    struct waiting_request {
        std::uint64_t id = 0;
        monotonic_time until;
    };
    struct sent_report {
        std::uint64_t sequence = 0;
        monotonic_time sentAt;
    };
    struct given_loan {
        int tokens = 0;
        monotonic_time expiresAt;
    };

    bool isPoolHeldHere(monotonic_time now) const { return m_pool.isActive(now); }
    bool isFloorValid(monotonic_time now) const { return now < m_floorValidUntil; }
    bool tryTakeFloor(monotonic_time now, int keep);
    bool tryTakeToken(monotonic_time now);
    void refuseExpired(monotonic_time now);
    void serveWaiting(monotonic_time now);
    void servePool(monotonic_time now);
    void requestGrant(monotonic_time now);
    bool isPoolReachable(monotonic_time now) const;
    void borrow(monotonic_time now);
    void lend(monotonic_time now, const instance_id& to, const share_request& request);
    int lentTokens(monotonic_time now);
    void advanceFloor(monotonic_time now);
    void report(monotonic_time now);
    void send(const instance_id& to, process_role role, decltype(limit_message::body) body);
    void applyFloor(monotonic_time now, const share_assignment& assignment);

    const customer_id m_customer;
    const instance_id m_localInstance;
    const incarnation m_incarnation;
    const limit_settings m_settings;
    token_bucket m_floor;
    monotonic_time m_floorValidUntil;
    std::uint64_t m_tableVersion = 0;
    instance_id m_poolInstance;
    received_grants m_receivedGrants;
    received_grants m_borrowed; ///< loans of other instances' floors
    std::deque<given_loan> m_lent; ///< by this floor; they occupy its depth until they expire
    grant_pool m_pool;
    demand_meter m_demand;
    demand_meter m_slowDemand;
    std::deque<waiting_request> m_waiting;
    std::deque<sent_report> m_reports;
    std::uint64_t m_reportSequence = 0;
    monotonic_time m_lastTokenRequest;
    monotonic_time m_lastGrantRequest;
    monotonic_time m_lastBorrow;
    monotonic_time m_lastReport;
    monotonic_time m_waitingSince; ///< time of the first request for tokens that the pool has not answered
    bool m_isReportUrgent = true;
    std::vector<limit_message> m_messages;
    std::vector<admission_decision> m_decisions;
};

/// @return the answer of an instance without a share machine for the customer to an unsolicited assignment: it uses
/// nothing
usage_report reportWithoutShares(const share_assignment& assignment, incarnation localIncarnation);

} // namespace flamingoroute

#endif
