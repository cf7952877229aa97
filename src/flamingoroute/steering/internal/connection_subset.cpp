#include "flamingoroute/steering/internal/connection_subset.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

namespace flamingoroute {

bool mayConnect(const instance_id& localInstance, const upstream& target, const std::vector<member>& members,
    const steering_settings& settings)
{
    const auto room
        = static_cast<std::size_t>(target.maxConnections * settings.connectionShare / settings.connectionsPerInstance);
    if (members.size() <= room)
        return true;
    const auto salt = hash64(target.name.value());
    const auto ownScore = mix64(salt ^ hash64(localInstance.value()));
    const auto isLocal = [&](const member& peer) { return peer.failureDomain == target.failureDomain; };
    bool isSelfLocal = false;
    for (const auto& peer : members)
        isSelfLocal = isSelfLocal || (peer.instance == localInstance && isLocal(peer));
    std::size_t before = 0;
    for (const auto& peer : members) {
        if (peer.instance == localInstance)
            continue;
        const bool isBefore
            = isLocal(peer) == isSelfLocal ? mix64(salt ^ hash64(peer.instance.value())) > ownScore : isLocal(peer);
        before += isBefore ? 1 : 0;
    }
    return before < room;
}

} // namespace flamingoroute
