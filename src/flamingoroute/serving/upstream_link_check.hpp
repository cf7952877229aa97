#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_LINK_CHECK_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_LINK_CHECK_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace flamingoroute {

struct serving_state;

/// Connects to several upstreams when the instance may be partitioned from all of them, and records the result. Sends
/// nothing on these connections.
class upstream_link_check {
public:
    /// @param onChange called when a check has changed whether the instance is partitioned from all upstreams
    upstream_link_check(serving_state& state, std::function<void()> onChange);

    /// Begins a check if one is due. To be called several times a second.
    void tick(monotonic_time now);

private:
    struct open_check;

    std::vector<endpoint> pickTargets();
    void connect(const std::shared_ptr<open_check>& check, const endpoint& target);
    void finish(open_check& check, bool hasConnected);

    serving_state& m_state;
    std::function<void()> m_onChange;
    std::minstd_rand m_random;
};

} // namespace flamingoroute

#endif
