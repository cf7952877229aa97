#ifndef FLAMINGOROUTE_MOVES_VERSION_GATE_HPP
#define FLAMINGOROUTE_MOVES_VERSION_GATE_HPP

#include "flamingoroute/fleet/version_tally.hpp"
#include "flamingoroute/model/version_order.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace flamingoroute {

/// Which versions of a service a request may go to.
struct version_filter {
    std::set<version_id> excluded; ///< never
    std::optional<version_id> preferred; ///< only this one, unless none of its upstreams can take the request
    std::optional<version_id> avoided; ///< only if no other can

    bool operator==(const version_filter&) const = default;
};

/// How one attempt at an upstream ended, for the verdict on its version.
enum class version_sample {
    good,
    failed,
    slow,
};

/// Moves requests to the versions that operators order, a little at first, and judges them. Pure.
///
/// An untried version gets a share of the requests by hash of their ids, so that all instances keep to the share
/// without talking. Shortly before the deadline it gets all of them, unless the fleet's tallies speak against it: some
/// faults show under load only. How shortly follows from what the exposure leaves for it.
class version_gate {
public:
    /// @param exposureShare the most of a service's requests that an untried version may get
    /// @param exposureSlack requests that it may get beyond that
    version_gate(double exposureShare, double exposureSlack);

    /// Told of each version of a service in the list of upstreams.
    /// @param isFirstList whether the list was read at the start, when its versions are in use already
    void recordVersion(const service_id& service, const version_id& version, bool isFirstList, monotonic_time now);

    /// Told of an order as it stands in the store.
    void recordOrder(const version_order& order, monotonic_time now);
    void removeOrder(const service_id& service);

    /// @param requestHash the same wherever the request arrives
    version_filter filterFor(const service_id& service, std::uint64_t requestHash, monotonic_time now) const;

    /// Counts an attempt, if its service is under an order.
    /// @return whether it speaks against the version under the order, which the others should hear soon
    bool recordAttempt(const service_id& service, const version_id& version, version_sample sample);

    /// @return the counts of this instance, and how old it takes the orders to be
    std::vector<version_tally> tallies(monotonic_time now) const;

    /// Takes what the others counted and judges the running orders. The greatest age of an order counts, so that an
    /// instance that has just started keeps to the fleet's time.
    void judge(const std::vector<version_tally>& others, monotonic_time now);

    /// @param rank of this instance among those heard; the first writes that an order is completed, the next one some
    /// time later. Anyone takes a version back at once.
    /// @return orders whose state in the store should become the returned one
    std::vector<version_order> dueStates(std::size_t rank, monotonic_time now) const;

private:
    struct running_order {
        version_order order;
        monotonic_time since;
        version_tally own;
        version_tally fleet;
        bool isBad = false;
    };

    bool isSwitchDue(const running_order& running, monotonic_time now) const;
    static std::uint64_t ageOf(const running_order& running, monotonic_time now);
    static bool isBad(const version_tally& counts);
    microseconds trialTime(const running_order& running, monotonic_time now) const;

    double m_exposureShare;
    double m_exposureSlack;
    std::map<service_id, running_order> m_orders;
    std::map<service_id, std::map<version_id, monotonic_time>>
        m_newVersions; ///< listed after the start, by first sight
    std::map<service_id, std::set<version_id>> m_rolledBack;
    std::map<service_id, std::set<version_id>> m_knownVersions;
};

} // namespace flamingoroute

#endif
