#ifndef FLAMINGOROUTE_RUNTIME_FLEET_PORT_HPP
#define FLAMINGOROUTE_RUNTIME_FLEET_PORT_HPP

#include "flamingoroute/duties/window_report.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/fleet_configuration.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/registered_upstream.hpp"
#include "flamingoroute/model/version_order.hpp"
#include "flamingoroute/proxy/header_names.hpp"
#include "flamingoroute/proxy/http_request.hpp"
#include "flamingoroute/requests/caller_answer.hpp"
#include "flamingoroute/runtime/lookup_request.hpp"
#include "flamingoroute/store/fleet_object.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Adapts a node to its platform and callers: names of object kinds and headers, and functions that parse and format
/// messages. Contains no decisions.
struct fleet_port {
    header_names headers;
    std::string configurationKind;
    std::string configurationName;
    std::string upstreamKind;
    std::string versionOrderKind;
    std::string evacuationKind; ///< the name of each object is a failure domain
    std::string memberKind;
    std::string dutyKind; ///< leases and records of duties
    std::function<tl::expected<fleet_configuration, error>(const fleet_object&)> readConfiguration;
    std::function<tl::expected<registered_upstream, error>(const fleet_object&)> readUpstream;
    std::function<tl::expected<version_order, error>(const fleet_object&)> readVersionOrder;
    std::function<tl::expected<member, error>(const fleet_object&)> readMember;
    std::function<std::string(const member&)> encodeMember; ///< JSON for the store
    std::function<std::string(const version_order&)> encodeVersionOrderStatus; ///< JSON for the store
    std::function<tl::expected<lookup_request, error>(const http_request&)> readLookup;
    std::function<caller_answer(const std::vector<member>&, milliseconds)> encodeLookup;
    std::function<bool(const http_request&)> isReadinessCheck;
    std::function<http_request(const window_report&, const instance_id& holder)> encodeUsageReport;
};

} // namespace flamingoroute

#endif
