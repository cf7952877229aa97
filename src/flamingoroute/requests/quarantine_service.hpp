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

/// What the quarantine needs from outside.
struct quarantine_hooks {
    monotonic_clock now;

    /// @return up to @p count other instances, chosen at random
    std::function<std::vector<instance_id>(std::size_t count)> choosePeers;

    /// Sends a notice without waiting; it may be lost.
    std::function<void(const instance_id& to, const quarantine_notice& notice)> send;
};

/// The quarantine of one instance. Safe to call from many threads. Each instance that learns of a broken attempt tells
/// a few others, so that the fleet hears of it in a few steps at a bounded cost for each instance.
class quarantine_service {
public:
    quarantine_service(quarantine_limits limits, quarantine_hooks hooks);

    /// @return the refusal if requests like this one are quarantined
    std::optional<refusal> check(
        const customer_id& customer, const route& matchedRoute, const caller_request& request) const;

    /// Told of an attempt whose upstream broke off.
    void recordBroken(const customer_id& customer, const route& matchedRoute, const caller_request& request,
        const upstream_id& target);

    /// Told of a whole answer.
    void recordAnswered(const customer_id& customer, const route& matchedRoute, const caller_request& request);

    /// Told of another instance's notice.
    void receive(const quarantine_notice& notice);

private:
    void applyNotice(const quarantine_notice& notice);

    quarantine_limits m_limits;
    quarantine_hooks m_hooks;
    mutable std::mutex m_mutex;
    quarantine_table m_table;
    std::atomic<bool> m_isEmpty { true }; ///< spares the hash of each request while nothing is known
};

} // namespace flamingoroute

#endif
