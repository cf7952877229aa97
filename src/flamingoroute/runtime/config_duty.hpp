#ifndef FLAMINGOROUTE_RUNTIME_CONFIG_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_CONFIG_DUTY_HPP

#include "flamingoroute/config/config_replica.hpp"
#include "flamingoroute/runtime/config_duty_hooks.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"

#include <atomic>
#include <memory>
#include <mutex>

namespace flamingoroute {

/// Runs a configuration replica on a dedicated thread. Both processes of an instance have one.
class config_duty {
public:
    config_duty(replica_settings settings, config_duty_hooks hooks);
    ~config_duty();

    /// Subscribes to config_offer, head_request, chunk_request and chunk_reply. Call before the bus listens.
    void registerWith(message_router& router);

    void start();
    void stop();

    /// Safe to call from any thread.
    void setPeers(replica_peers peers);
    void onStoreHead(std::string value);
    void onContent(std::string hash, std::string content);

    /// @return the active configuration, or null
    configuration_ptr current() const;

    /// @return revision and hash of the active configuration
    config_position position() const;

    /// @return the position last read from the platform
    config_position storePosition() const;

    /// @return whether the instance may serve
    bool isReady() const { return m_isReady; }

private:
    using replica_event = std::function<replica_actions(config_replica&, monotonic_time)>;

    void onMessage(const envelope& message);
    void run(const replica_event& event);
    void perform(const replica_action& action);
    void perform(const send_offer& action);
    void perform(const fetch_head& action);
    void perform(const fetch_chunks& action);
    void perform(const send_content& action);
    void perform(const adopt_configuration& action);
    void perform(const report_fault& action);

    config_duty_hooks m_hooks;
    config_replica m_replica;
    mutable std::mutex m_publishedMutex;
    configuration_ptr m_published;
    config_position m_position;
    config_position m_storePosition;
    std::atomic<bool> m_isReady { false };
    duty_thread<replica_event> m_thread;
};

} // namespace flamingoroute

#endif
