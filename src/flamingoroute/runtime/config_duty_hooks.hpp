#ifndef FLAMINGOROUTE_RUNTIME_CONFIG_DUTY_HOOKS_HPP
#define FLAMINGOROUTE_RUNTIME_CONFIG_DUTY_HOOKS_HPP

#include "flamingoroute/config/config_position.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/peers/message_sender.hpp"

#include <functional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Callbacks of the configuration duty, called on its thread. None may block.
struct config_duty_hooks {
    message_sender send;

    /// Called for each configuration that comes into force, in ascending order.
    std::function<void(const configuration_ptr&, const config_position&)> onAdopted;

    /// Called for faults that operators must be informed of.
    std::function<void(const error&)> onError;

    /// Requests chunks from the platform; they are delivered to config_duty::onContent. May be empty.
    std::function<void(const std::vector<std::string>& hashes)> readChunks;

    /// Requests the platform's head; it is delivered to config_duty::onStoreHead. May be empty.
    std::function<void()> readHead;
};

} // namespace flamingoroute

#endif
