#ifndef FLAMINGOROUTE_FLEET_RETRY_SPLIT_HPP
#define FLAMINGOROUTE_FLEET_RETRY_SPLIT_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <map>

namespace flamingoroute {

/// Keeps the fleet's retries to each service within the bounds; each instance gets an even share. Pure: no I/O, clocks
/// or threads.
class retry_split {
public:
    explicit retry_split(const fleet_bounds& bounds);

    /// Counts a request for a service; called once per request.
    void recordRequest(const service_id& service, std::size_t members);

    /// Takes one retry token.
    /// @param members number of instances that may send
    /// @return false if the share of this instance is used up
    bool takeRetry(const service_id& service, std::size_t members);

private:
    double depth(std::size_t members) const;

    double m_ratio;
    double m_slack;
    std::map<service_id, double> m_tokens;
};

} // namespace flamingoroute

#endif
