#ifndef FLAMINGOROUTE_STEERING_SLOT_HOLDER_HPP
#define FLAMINGOROUTE_STEERING_SLOT_HOLDER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/steering/slot_grant.hpp"
#include "flamingoroute/steering/slot_request.hpp"
#include "flamingoroute/steering/steering_identity.hpp"
#include "flamingoroute/steering/steering_settings.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingoroute {

/// The slots of one failure domain that an instance holds: the borrower's side. Pure: no I/O, clocks or threads.
/// A request may start while fewer requests than the granted ceiling run and the grant has not expired. The lifetime
/// starts when the request for the grant was sent, so that the grant expires here before it expires at the allocator.
class slot_holder {
public:
    /// @param domain the failure domain of the upstreams
    slot_holder(failure_domain_id domain, steering_identity self, steering_settings settings);

    /// Applies a grant. The ceilings of an old, duplicate or outdated grant are not applied.
    void receive(const slot_grant& grant, monotonic_time now);

    /// Records an allocator's epoch; grants of lower epochs are ignored from now on.
    void advanceEpoch(std::uint64_t epoch);

    /// @return whether a request may start at @p target
    bool hasFreeSlot(const upstream_id& target, monotonic_time now) const;

    void takeSlot(const upstream_id& target, monotonic_time now);
    void releaseSlot(const upstream_id& target, monotonic_time now);

    /// @return requests of this instance that run at @p target
    int busy(const upstream_id& target) const;

    /// @return requests that may run at @p target at the same time
    int ceiling(const upstream_id& target, monotonic_time now) const;

    /// @return whether bytes may cross the link: the byte credit is not used up and not expired
    bool hasLinkBytes(monotonic_time now) const { return m_linkBytes > 0 && now < m_linkBytesUntil; }
    void spendLinkBytes(double bytes) { m_linkBytes -= bytes; }

    /// Sets how many slots this instance can use.
    void setDemand(const upstream_id& target, int slots, monotonic_time now);
    void resetLinkBytesDemand() { m_linkBytesWanted = 0; }
    void raiseLinkBytesDemand(std::uint64_t bytes) { m_linkBytesWanted = std::max(m_linkBytesWanted, bytes); }

    /// Adds to each request, until stopped, that @p target itself reported that it is leaving.
    void reportLeaving(const upstream_id& target);
    void stopReportingLeaving(const upstream_id& target) { m_leaving.erase(target.value()); }

    /// @param minInterval the minimum time between two requests
    /// @return the request to be sent now, if one is due
    std::optional<slot_request> takeRequest(milliseconds minInterval, monotonic_time now);

    std::uint64_t epoch() const { return m_epoch; }

    /// @return when the last grant or notice of an epoch arrived
    monotonic_time lastGrantAt() const { return m_lastGrantAt; }
    monotonic_time lastRequestAt() const { return m_lastRequestAt; }
    bool isWaiting() const { return m_lastRequestAt > m_lastGrantAt; }

private:
    struct position {
        int ceiling = 0;
        int busy = 0;
        int demand = 0;
        double averageDemand = 0; ///< running average of demand
        monotonic_time averagedAt;
        int reportedHeld = 0; ///< `held` in the last request
        int reportedDemand = 0;
        monotonic_time usedAt;
    };

    void updateMean(position& held, monotonic_time now) const;
    bool isValid(monotonic_time now) const { return now < m_validUntil; }
    bool isRequestDue(monotonic_time now) const;
    void returnIdleSlots(monotonic_time now);
    void expireGrants(monotonic_time now);

    failure_domain_id m_domain;
    steering_identity m_self;
    steering_settings m_settings;
    bool m_isLocal;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_heldEpoch = 0;
    std::uint64_t m_lastReceivedGrant = 0;
    std::uint64_t m_requests = 0;
    std::map<std::uint64_t, monotonic_time> m_sentAt; ///< of recent requests
    monotonic_time m_validUntil;
    monotonic_time m_lastRequestAt;
    monotonic_time m_lastGrantAt;
    milliseconds m_reportInterval { 0 };
    bool m_isUpdateDue = false;
    double m_linkBytes = 0;
    monotonic_time m_linkBytesUntil;
    std::uint64_t m_linkBytesWanted = 0;
    std::map<std::string, position> m_positions;
    std::set<std::string> m_leaving;
};

} // namespace flamingoroute

#endif
