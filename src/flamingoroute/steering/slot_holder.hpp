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

/// What an instance holds of one failure domain's slots: the borrower's side. Pure.
/// A request may start while fewer than the granted ceiling run and the grant has not lapsed; the life counts from
/// when the request for it was sent, so that it ends here before it ends at the allocator.
class slot_holder {
public:
    /// @param domain whose upstreams
    slot_holder(failure_domain_id domain, steering_identity self, steering_settings settings);

    /// Takes in a grant; old, doubled and outdated ones change nothing.
    void receive(const slot_grant& grant, monotonic_time now);

    /// Learns of an allocator's epoch; grants of lower ones are refused from now on.
    void noteEpoch(std::uint64_t epoch);

    /// @return whether a request may start at @p target
    bool isFree(const upstream_id& target, monotonic_time now) const;

    void take(const upstream_id& target, monotonic_time now);
    void giveBack(const upstream_id& target, monotonic_time now);

    /// @return requests of this instance that run at @p target
    int busy(const upstream_id& target) const;

    /// @return requests that may run at @p target at one time
    int ceiling(const upstream_id& target, monotonic_time now) const;

    /// Bytes may cross the link if the balance is not overdrawn.
    bool hasLinkBytes(monotonic_time now) const { return m_linkBytes > 0 && now < m_linkBytesUntil; }
    void spendLinkBytes(double bytes) { m_linkBytes -= bytes; }

    /// Sets how many slots this instance has use for.
    void want(const upstream_id& target, int slots, monotonic_time now);
    void wantNoLinkBytes() { m_linkBytesWanted = 0; }
    void wantLinkBytes(std::uint64_t bytes) { m_linkBytesWanted = std::max(m_linkBytesWanted, bytes); }

    /// Tells the allocator that @p target itself said that it leaves, with each request until stopped.
    void reportLeaving(const upstream_id& target);
    void stopReportingLeaving(const upstream_id& target) { m_leaving.erase(target.value()); }

    /// @param leastInterval between two requests
    /// @return the request to be sent now, if one is due
    std::optional<slot_request> takeRequest(milliseconds leastInterval, monotonic_time now);

    std::uint64_t epoch() const { return m_epoch; }

    /// @return when the last grant came in
    monotonic_time heardAt() const { return m_heardAt; }
    monotonic_time askedAt() const { return m_askedAt; }
    bool isWaiting() const { return m_askedAt > m_heardAt; }

private:
    struct position {
        int ceiling = 0;
        int busy = 0;
        int wanted = 0;
        double mean = 0; ///< running average of wanted
        monotonic_time meanAt;
        int told = 0; ///< what the last request said of `have`
        int toldWanted = 0;
        monotonic_time usedAt;
    };

    void average(position& held, monotonic_time now) const;
    bool isValid(monotonic_time now) const { return now < m_validUntil; }
    bool isRequestDue(monotonic_time now) const;
    void returnIdle(monotonic_time now);
    void lapse(monotonic_time now);

    failure_domain_id m_domain;
    steering_identity m_self;
    steering_settings m_settings;
    bool m_isLocal;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_heldEpoch = 0;
    std::uint64_t m_grantSeen = 0;
    std::uint64_t m_requests = 0;
    std::map<std::uint64_t, monotonic_time> m_sentAt; ///< of recent requests
    monotonic_time m_validUntil;
    monotonic_time m_askedAt;
    monotonic_time m_heardAt;
    milliseconds m_reportInterval { 0 };
    bool m_isAnswerDue = false;
    double m_linkBytes = 0;
    monotonic_time m_linkBytesUntil;
    std::uint64_t m_linkBytesWanted = 0;
    std::map<std::string, position> m_positions;
    std::set<std::string> m_leaving;
};

} // namespace flamingoroute

#endif
