#ifndef FLAMINGOROUTE_RUNTIME_REQUEST_GUARDS_HPP
#define FLAMINGOROUTE_RUNTIME_REQUEST_GUARDS_HPP

#include "flamingoroute/requests/pipeline_hooks.hpp"
#include "flamingoroute/requests/quarantine_service.hpp"
#include "flamingoroute/runtime/claims_duty.hpp"
#include "flamingoroute/store/http_object_store.hpp"

#include <mutex>
#include <random>

namespace flamingoroute {

struct instance_settings;
class member_directory;
class message_router;
class peer_bus;

/// Prevents requests from running twice and from breaking one upstream after another: claims and quarantine, connected
/// to the platform's store and to the other instances.
class request_guards {
public:
    /// @param directory and @p bus must outlive this object
    request_guards(const instance_settings& settings, incarnation localIncarnation, const member_directory& directory,
        peer_bus& bus);

    /// Sets the hooks for claims and for the quarantine.
    void addTo(pipeline_hooks& hooks);

    /// Subscribes to the quarantine notices of other instances.
    void registerWith(message_router& router);

    void start();

    /// Stops after the outcomes of claims are written, or after a few seconds.
    void stop();

private:
    quarantine_hooks quarantineHooks(
        const instance_id& localInstance, const member_directory& directory, peer_bus& bus);
    std::vector<instance_id> choosePeers(
        const instance_id& localInstance, const member_directory& directory, std::size_t count);

    http_object_store m_store;
    claims_duty m_claims;
    std::mutex m_mutex;
    std::mt19937 m_random;
    quarantine_service m_quarantine;
};

} // namespace flamingoroute

#endif
