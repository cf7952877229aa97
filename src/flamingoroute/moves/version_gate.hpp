#ifndef FLAMINGOROUTE_MOVES_VERSION_GATE_HPP
#define FLAMINGOROUTE_MOVES_VERSION_GATE_HPP

#include "flamingoroute/fleet/version_tally.hpp"
#include "flamingoroute/model/version_order.hpp"
#include "flamingoroute/moves/version_sample.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace flamingoroute {

/// Which versions of a service a request may go to.
struct version_filter {
    std::set<version_id> excluded; ///< never
    std::optional<version_id> preferred; ///< only this one, unless none of its upstreams can accept the request
    std::optional<version_id> avoided; ///< only if no other version can accept the request

    bool operator==(const version_filter&) const = default;
};

/// Rolls out the versions of operators' orders, with a small share of the requests at first, and evaluates them. Pure:
/// no I/O, clocks or threads.
///
/// An untried version receives a share of the requests by hash of their ids, so that all instances keep the same share
/// without coordination. Shortly before the deadline it receives all requests for a short time, unless the fleet's
/// tallies show it to be bad: some faults appear under load only. The length of this trial follows from the remaining
/// exposure. At the deadline the version is completed only if the tallies show it to be as good as the others; with too
/// little evidence the order continues, with a greater share, for at most its duration once more. Only times may still
/// be missing then, as they are under load.
class version_gate {
public:
    /// @param exposureShare the largest share of a service's requests that an untried version may receive
    /// @param exposureSlack number of requests that it may receive beyond that share
    version_gate(double exposureShare, double exposureSlack);

    /// Called for each version of a service in the list of upstreams.
    /// @param isFirstList whether the list was read at startup; its versions are in use already
    void recordVersion(const service_id& service, const version_id& version, bool isFirstList, monotonic_time now);

    /// Called with the current state of an order in the store. A decision that a restored store has forgotten stays,
    /// and is due to be written again.
    void recordOrder(const version_order& order, monotonic_time now);
    void removeOrder(const service_id& service);
    bool hasOrders() const { return !m_orders.empty(); }

    /// @param requestHash the same at every instance that the request may reach
    version_filter filterFor(const service_id& service, std::uint64_t requestHash, monotonic_time now) const;

    /// Counts an attempt if its service has a running order.
    /// @param upstreamHash the hash of its upstream's name
    /// @return whether the sample is against the ordered version, so that the tallies should be sent to the others soon
    bool recordAttempt(
        const service_id& service, const version_id& version, version_sample sample, std::uint64_t upstreamHash = 0);

    /// @return the counts of this instance, with the age of each running order as known here
    std::vector<version_tally> tallies(monotonic_time now) const;

    /// Adds the counts of other instances and evaluates the running orders. The greatest reported age of an order
    /// applies, so that an instance that has just started uses the fleet's schedule.
    void judge(const std::vector<version_tally>& others, monotonic_time now);

    /// @return the fleet's counts that the running order of @p service was last evaluated by
    version_tally evidenceOf(const service_id& service) const;

    /// @param rank of this instance among the reachable ones; the first one writes a due state at once, the next ones
    ///        some time later, if it has not become visible by then. A bad version is rolled back as soon as it is
    ///        found, a doubtful one instead of being completed.
    /// @return orders whose state in the store should become the returned one
    std::vector<version_order> dueStates(std::size_t rank, monotonic_time now) const;

private:
    struct running_order {
        version_order order;
        monotonic_time startedAt; ///< when any instance first received the order
        monotonic_time readAt; ///< when this instance did
        version_tally local;
        version_tally fleet;
        std::optional<monotonic_time> badSince; ///< when the tallies first showed the version to be bad
        bool isForgotten = false; ///< a restored store has the order without its decided state
    };

    static bool isForgottenBy(const version_order& stored, const running_order& known);
    bool isTrialActive(const running_order& running, monotonic_time now) const;
    double shareOf(const running_order& running, monotonic_time now) const;
    static std::uint64_t ageOf(const running_order& running, monotonic_time now);
    static double rateOf(const running_order& running, monotonic_time now);
    double allowedAttempts(const running_order& running, double perSecond) const;
    double canaryShare(const running_order& running, monotonic_time now) const;
    microseconds trialTime(const running_order& running, monotonic_time now) const;

    double m_exposureShare;
    double m_exposureSlack;
    std::map<service_id, running_order> m_orders;
    std::map<service_id, std::map<version_id, monotonic_time>>
        m_newVersions; ///< listed after startup, with the time of the first listing
    std::map<service_id, std::set<version_id>> m_rolledBack;
    std::map<service_id, std::set<version_id>> m_knownVersions;
};

} // namespace flamingoroute

#endif
