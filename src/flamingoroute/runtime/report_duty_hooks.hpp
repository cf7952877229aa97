#ifndef FLAMINGOROUTE_RUNTIME_REPORT_DUTY_HOOKS_HPP
#define FLAMINGOROUTE_RUNTIME_REPORT_DUTY_HOOKS_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/message_sender.hpp"

#include <functional>
#include <vector>

namespace flamingoroute {

class metrics_text;

/// Callbacks of the report duty into the entry process.
struct report_duty_hooks {
    failure_domain_id failureDomain;
    std::function<configuration_ptr()> currentConfiguration;
    std::function<std::vector<instance_id>()> receivers; ///< instances whose control processes receive the counts
    message_sender send;
    std::function<void(metrics_text& text)> addMetrics; ///< adds the metrics of other duties
};

} // namespace flamingoroute

#endif
