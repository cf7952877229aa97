#include "flamingoroute/runtime/node_wiring.hpp"

#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/runtime/member_directory.hpp"

namespace flamingoroute {

http_object_store_settings storeSettings(const instance_settings& settings)
{
    http_object_store_settings result;
    result.platform = settings.platformAddress;
    result.client = settings.self.instance.value() + "/" + settings.self.failureDomain.value();
    return result;
}

message_sender senderTo(const member_directory& directory, peer_bus& bus)
{
    return [&directory, &bus](const instance_id& to, process_role role, message_kind kind, std::string body) {
        if (const auto address = directory.addressOf(to, role))
            bus.send(*address, kind, std::move(body));
    };
}

} // namespace flamingoroute
