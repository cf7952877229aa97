#ifndef FLAMINGOROUTE_SERVING_SERVING_STATE_HPP
#define FLAMINGOROUTE_SERVING_SERVING_STATE_HPP

#include "flamingoroute/duties/usage_counter.hpp"
#include "flamingoroute/fleet/fleet_members.hpp"
#include "flamingoroute/fleet/load_changes.hpp"
#include "flamingoroute/fleet/rate_split.hpp"
#include "flamingoroute/fleet/retry_split.hpp"
#include "flamingoroute/moves/version_gate.hpp"
#include "flamingoroute/placement/cold_gate.hpp"
#include "flamingoroute/placement/shift_limiter.hpp"
#include "flamingoroute/placement/upstream_directory.hpp"
#include "flamingoroute/proxy/body_budget.hpp"
#include "flamingoroute/proxy/header_names.hpp"
#include "flamingoroute/requests/quarantine_table.hpp"
#include "flamingoroute/routing/routing_table.hpp"
#include "flamingoroute/serving/path_delays.hpp"
#include "flamingoroute/serving/preference_tables.hpp"
#include "flamingoroute/serving/recent_objects.hpp"
#include "flamingoroute/serving/service_times.hpp"
#include "flamingoroute/serving/serving_counters.hpp"
#include "flamingoroute/serving/upstream_connection_pool.hpp"
#include "flamingoroute/serving/upstream_link.hpp"
#include "flamingoroute/settings/node_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace flamingoroute {

class request_flow;

/// Part of the memory for answers that are not complete yet; a complete one is copied once on its way to the caller.
inline constexpr std::size_t answerMemoryDivisor = 6;

/// Part of the memory for the bodies of requests. The largest body that a configuration of the users allows, 64 MiB,
/// fits into it on an instance with 112 MiB. The rest is left for answers, connections and the program itself.
inline constexpr double requestMemoryShare = 0.625;

/// State shared by all requests of an instance. Accessed only from the event loop's thread.
struct serving_state {
    serving_state(boost::asio::io_context& ioContext, const node_settings& nodeSettings, const header_names& names,
        const member& self)
        : loop(ioContext)
        , settings(nodeSettings)
        , headers(names)
        , upstreams(nodeSettings.regions)
        , versions(nodeSettings.bounds.exposureShare, nodeSettings.bounds.exposureSlack)
        , members(self)
        , selfOnly { 0, { nodeSettings.instance } }
        , rates(nodeSettings.bounds, monotonicNow())
        , retries(nodeSettings.bounds)
        , cold(nodeSettings.instance, nodeSettings.bounds.coldRateFactor, nodeSettings.bounds.coldSlack)
        , quarantine(quarantine_limits {})
        , paths(nodeSettings.region)
        , usage(nodeSettings.usageAddress.port == 0 ? milliseconds(0) : nodeSettings.bounds.usageWindow)
        , connections(ioContext, names.requestId, nodeSettings.memoryLimitBytes / answerMemoryDivisor)
        , peerConnections(ioContext, std::string(), nodeSettings.memoryLimitBytes / answerMemoryDivisor)
        , bodies(std::make_shared<body_budget>(
              static_cast<std::size_t>(requestMemoryShare * static_cast<double>(nodeSettings.memoryLimitBytes))))
    {
    }

    boost::asio::io_context& loop;
    node_settings settings;
    header_names headers;
    routing_table_ptr table; ///< null until a configuration is active
    upstream_directory upstreams;
    preference_tables preferences;
    version_gate versions;
    fleet_members members;
    instance_group selfOnly; ///< this instance alone; its revision differs from those of the regions
    rate_split rates;
    retry_split retries;
    cold_gate cold;
    shift_limiter shifts;
    load_changes measuredLoads; ///< of upstreams, from answers to this instance, to be reported to relays
    quarantine_table quarantine;
    service_times times;
    recent_objects objects;
    path_delays paths;
    usage_counter usage;
    upstream_link link;
    upstream_connection_pool connections;
    upstream_connection_pool peerConnections; ///< to other instances, for forwarded requests
    std::shared_ptr<body_budget> bodies;
    serving_counters counters;
    std::unordered_map<const request_flow*, std::weak_ptr<request_flow>> openRequests;
    bool isLeaving = false; ///< the instance is shutting down: each answer closes its connection
    /// Requests that this instance's counts are sent to the other instances soon.
    std::function<void()> reportSoon;
    /// Notifies the other instances that an upstream broke the connection during a request.
    std::function<void(const std::string& fingerprint, const upstream_id& upstream)> reportBrokenConnection;
};

} // namespace flamingoroute

#endif
