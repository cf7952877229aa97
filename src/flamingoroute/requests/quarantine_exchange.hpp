#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_EXCHANGE_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_EXCHANGE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/quarantine_notice.hpp"

#include <functional>
#include <string>

namespace flamingoroute {

class quarantine_table;

/// Exchanges broken attempts between the instances of a fleet. Pure: sending is a hook; callers pass the time.
///
/// Most broken attempts have nothing to do with their request. In a large fleet they go to the relays only, a few
/// messages each; a relay passes them on to its region once a second upstream broke under the same request. All
/// instances then know the request before it is quarantined, and the number of messages does not grow with broken
/// attempts times instances.
class quarantine_exchange {
public:
    enum class role {
        member, ///< reports to the relays of its region
        relay, ///< the same, and records what others report
        first_relay, ///< passes on to its region and to the relays of other regions
        peer, ///< of a fleet without relays: reports to all others
    };

    struct hooks {
        std::function<role(monotonic_time now)> currentRole;
        std::function<void(const quarantine_notice&)> sendToRelays; ///< of the own region
        std::function<void(const quarantine_notice&)> sendToOtherRegions; ///< to their relays
        std::function<void(const quarantine_notice&)> sendToRegion; ///< to the other instances of the own region
        std::function<void(const quarantine_notice&)> sendToAll; ///< to all other instances
    };

    /// @param table the records of this instance; must outlive the exchange
    quarantine_exchange(quarantine_table& table, hooks callbacks);

    /// Reports an attempt that broke at this instance and that the table has just recorded.
    void reportBroken(const std::string& fingerprint, const upstream_id& upstream, monotonic_time now);

    /// Records an attempt that an instance of the own region reported to this relay.
    void receiveReport(const quarantine_notice& notice, monotonic_time now);

    /// Records an attempt that another relay passed on.
    void receive(const quarantine_notice& notice, monotonic_time now);

private:
    bool record(const quarantine_notice& notice, monotonic_time now);
    void informRegion(const quarantine_notice& notice, monotonic_time now);

    quarantine_table& m_table;
    hooks m_hooks;
};

} // namespace flamingoroute

#endif
