#ifndef FLAMINGOROUTE_RUNTIME_NODE_WIRING_HPP
#define FLAMINGOROUTE_RUNTIME_NODE_WIRING_HPP

#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/settings/instance_settings.hpp"
#include "flamingoroute/store/http_object_store_settings.hpp"

namespace flamingoroute {

class member_directory;
class peer_bus;

/// @return how a process of the instance calls the platform
http_object_store_settings storeSettings(const instance_settings& settings);

/// @param directory tells where a process is reached; outlives the sender
/// @param bus outlives the sender
/// @return a sender that drops messages to instances that are not known
message_sender senderTo(const member_directory& directory, peer_bus& bus);

} // namespace flamingoroute

#endif
