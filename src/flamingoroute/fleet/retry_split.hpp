#ifndef FLAMINGOROUTE_FLEET_RETRY_SPLIT_HPP
#define FLAMINGOROUTE_FLEET_RETRY_SPLIT_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <map>

namespace flamingoroute {

/// Keeps the fleet's repeated sendings to each service within the bounds, by an even part for each instance. Pure.
class retry_split {
public:
    explicit retry_split(const fleet_bounds& bounds);

    /// Told of each request for a service, once.
    void noteRequest(const service_id& service, std::size_t members);

    /// Takes one repeated sending.
    /// @param members instances that may send
    /// @return false if this instance's part is used up
    bool takeRetry(const service_id& service, std::size_t members);

private:
    double depth(std::size_t members) const;

    double m_ratio;
    double m_slack;
    std::map<service_id, double> m_tokens;
};

} // namespace flamingoroute

#endif
