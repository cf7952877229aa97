#ifndef FLAMINGOROUTE_RUNTIME_CONFIG_POLL_HPP
#define FLAMINGOROUTE_RUNTIME_CONFIG_POLL_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <atomic>
#include <functional>
#include <thread>

namespace flamingoroute {

/// Reads the configuration from the platform now and then.
class config_poll {
public:
    config_poll(const instance_settings& settings, std::function<void(const configuration_ptr&)> onAdopted);
    ~config_poll();

private:
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace flamingoroute

#endif
