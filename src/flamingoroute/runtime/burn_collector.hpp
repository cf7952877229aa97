#ifndef FLAMINGOROUTE_RUNTIME_BURN_COLLECTOR_HPP
#define FLAMINGOROUTE_RUNTIME_BURN_COLLECTOR_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/peers/member_status.hpp"
#include "flamingoroute/report/burn_report.hpp"
#include "flamingoroute/report/burn_usage.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace flamingoroute {

/// Stores the last reported counts of each entry and merges them into the burn report. Thread-safe.
class burn_collector {
public:
    /// Stores a burn_usage message; an unreadable one is dropped.
    void update(const envelope& message);

    /// @param members the instances that should report
    burn_report report(const configuration& current, const std::vector<member_status>& members) const;

private:
    mutable std::mutex m_mutex;
    std::map<instance_id, burn_usage> m_usage;
};

} // namespace flamingoroute

#endif
