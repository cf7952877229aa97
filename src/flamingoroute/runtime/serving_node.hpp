#ifndef FLAMINGOROUTE_RUNTIME_SERVING_NODE_HPP
#define FLAMINGOROUTE_RUNTIME_SERVING_NODE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/proxy/http_listener.hpp"
#include "flamingoroute/runtime/fleet_gossip.hpp"
#include "flamingoroute/runtime/fleet_port.hpp"
#include "flamingoroute/runtime/fleet_watch.hpp"
#include "flamingoroute/runtime/usage_duty.hpp"
#include "flamingoroute/runtime/version_order_writer.hpp"
#include "flamingoroute/serving/request_flow.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/serving/upstream_link_check.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace flamingoroute {

/// A process that serves callers, look-ups and readiness checks on one event loop.
class serving_node {
public:
    /// Reads the settings file again, to check it after SIGHUP.
    using settings_reader = std::function<tl::expected<node_settings, error>()>;

    /// @param store must outlive the node
    serving_node(boost::asio::io_context& loop, const node_settings& settings, fleet_port port, watched_store& store,
        settings_reader readSettings);

    /// Opens the listeners and starts to read the store. An address that another process still uses is opened as soon
    /// as that process has released it; until then the node is not ready.
    /// @return an error if an address cannot be used at all
    tl::expected<void, error> start();

private:
    /// Takes the next steps of the start, up to one whose address is in use.
    tl::expected<void, error> continueStart();
    void retryStart();
    void startServing();

    void registerSelf();
    /// @param done called after the store has answered; may be empty
    void unregister(const instance_id& instance, std::function<void()> done);
    void unregisterAndEnd();
    void onPeerUpdate();
    void describeStore(region_digest& digest) const;
    void tick();
    void updateReadiness();
    void removeLostMembers();

    void onLinkChange();
    caller_limits callerLimits() const;
    bool isBusy() const { return m_callers.isBusy() || m_forwards.isBusy(); }

    void serve(std::shared_ptr<caller_exchange> exchange, request_origin origin);
    void answerLookup(const caller_exchange& exchange) const;
    void answerReadiness(const caller_exchange& exchange) const;
    void answerMetrics(const caller_exchange& exchange) const;

    void waitForSignal();
    void checkSettings() const;
    void leave();
    void leaveStep();
    void endRequests();
    void end();

    boost::asio::io_context& m_loop;
    settings_reader m_readSettings;
    fleet_port m_port;
    watched_store& m_store;
    serving_state m_state;
    fleet_watch m_watch;
    fleet_gossip m_gossip;
    version_order_writer m_orderWriter;
    usage_duty m_usage;
    upstream_link_check m_linkCheck;
    monotonic_time m_failingSince; ///< last connection to an upstream before the last partition
    http_listener m_callers;
    http_listener m_forwards; ///< of requests that other instances forward
    http_listener m_readiness;
    http_listener m_lookups;
    http_listener m_metrics;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_startTimer;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_leaveTimer;
    std::deque<std::function<tl::expected<void, error>()>> m_startSteps; ///< those not taken yet
    monotonic_time m_leavingSince;
    bool m_isRegistering = false;
    bool m_isStartWaiting = false; ///< the first of the steps left has found its address in use
};

} // namespace flamingoroute

#endif
