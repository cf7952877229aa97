#ifndef FLAMINGOROUTE_RUNTIME_NODE_WIRING_HPP
#define FLAMINGOROUTE_RUNTIME_NODE_WIRING_HPP

#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/settings/instance_settings.hpp"
#include "flamingoroute/store/http_object_store_settings.hpp"

namespace flamingoroute {

class member_directory;
class peer_bus;

/// @return the settings with which a process of the instance calls the platform
http_object_store_settings storeSettings(const instance_settings& settings);

/// @param directory provides the addresses; must outlive the sender
/// @param bus must outlive the sender
/// @return a sender that drops messages to unknown instances
message_sender senderTo(const member_directory& directory, peer_bus& bus);

} // namespace flamingoroute

#endif
