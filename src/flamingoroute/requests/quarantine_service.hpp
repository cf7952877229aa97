#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_SERVICE_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_SERVICE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/model/route.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/requests/quarantine_table.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Dependencies of quarantine_service.
struct quarantine_hooks {
    monotonic_clock now;

    /// @return up to @p count other instances, chosen at random
    std::function<std::vector<instance_id>(std::size_t count)> choosePeers;

    /// Sends a notice without blocking; it may be lost.
    std::function<void(const instance_id& to, const quarantine_notice& notice)> send;
};

/// The quarantine of one instance. Thread-safe. Notices spread by gossip: each instance forwards a new notice to a few
/// others, so that it reaches the fleet in a few hops at a bounded cost for each instance.
class quarantine_service {
public:
    quarantine_service(quarantine_limits limits, quarantine_hooks hooks);

    /// @return the refusal if requests with this fingerprint are quarantined
    std::optional<refusal> check(
        const customer_id& customer, const route& matchedRoute, const caller_request& request) const;

    /// Records an attempt whose upstream failed while it ran the request.
    void recordBroken(const customer_id& customer, const route& matchedRoute, const caller_request& request,
        const upstream_id& target);

    /// Records a complete answer; ignored for large request bodies, which cost too much to hash each time.
    void recordAnswered(const customer_id& customer, const route& matchedRoute, const caller_request& request);

    /// Handles a notice from another instance.
    void receive(const quarantine_notice& notice);

private:
    void applyNotice(const quarantine_notice& notice);

    quarantine_limits m_limits;
    quarantine_hooks m_hooks;
    mutable std::mutex m_mutex;
    quarantine_table m_table;
    std::atomic<bool> m_isEmpty { true }; ///< avoids hashing each request while the table is empty
};

} // namespace flamingoroute

#endif
