#ifndef FLAMINGOROUTE_MOVES_SHARE_CAP_HPP
#define FLAMINGOROUTE_MOVES_SHARE_CAP_HPP

#include "flamingoroute/model/route.hpp"
#include "flamingoroute/model/service.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace flamingoroute {

/// The split of a service between two versions at this instance.
struct version_split {
    service_id service;
    version_id from;
    version_id to;
    int percent = 0; ///< the new version's share

    bool operator==(const version_split&) const = default;
};

/// Chooses the version of each attempt. Counted since the share was last lowered, the new version receives at most
/// floor(share * attempts on the route) attempts on a route; so any sum over instances and routes stays within the
/// share too. Less than one request of credit is carried over from one window to the next.
class share_cap {
public:
    /// Applies the splits; a service without one runs its current version.
    void update(const std::vector<version_split>& splits);

    /// Thread-safe; holds one short lock if a split is active.
    /// @param isRetry a retry counts as an attempt and always goes to the old version
    /// @return the version for the attempt
    version_id choose(const service& requestedService, const route& matchedRoute, bool isRetry = false);

private:
    struct service_state {
        version_split split;
        std::map<std::string, int> creditByRoute; ///< hundredths of a request, below 100
    };

    std::atomic<bool> m_hasSplits { false };
    std::mutex m_mutex;
    std::map<service_id, service_state> m_services;
};

} // namespace flamingoroute

#endif
