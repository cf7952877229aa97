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

/// What the configuration duty calls, on its own thread; none may block.
struct config_duty_hooks {
    message_sender send;

    /// Each configuration that comes into force, in rising order.
    std::function<void(const configuration_ptr&, const config_position&)> onAdopted;

    /// Something that operators must hear of.
    std::function<void(const error&)> onFault;

    /// Asks for chunks from the platform; they come back by config_duty::onContent. May be empty.
    std::function<void(const std::vector<std::string>& hashes)> readChunks;

    /// Asks for the platform's head; it comes back by config_duty::onStoreHead. May be empty.
    std::function<void()> readHead;
};

} // namespace flamingoroute

#endif
