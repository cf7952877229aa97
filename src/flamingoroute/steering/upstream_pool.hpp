#ifndef FLAMINGOROUTE_STEERING_UPSTREAM_POOL_HPP
#define FLAMINGOROUTE_STEERING_UPSTREAM_POOL_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/requests/attempt_result.hpp"
#include "flamingoroute/steering/chosen_upstream.hpp"
#include "flamingoroute/steering/steering_identity.hpp"
#include "flamingoroute/steering/upstream_wish.hpp"

#include <tl/expected.hpp>

#include <memory>

namespace flamingoroute {

/// Gives requests their upstreams. Safe to call from many threads at once.
class upstream_pool {
public:
    /// @param self the instance that chooses
    explicit upstream_pool(steering_identity self);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Takes a configuration into force.
    void adopt(configuration_ptr current);

    /// Waits in the queue for a slot, until the wish's deadline at the latest.
    /// @return a slot, to be released; or `no_capacity`, `no_healthy_upstream` or `not_ready`
    tl::expected<chosen_upstream, refusal> acquire(const upstream_wish& wish);

    /// Gives a slot back and tells how the attempt went.
    void release(const chosen_upstream& chosen, const attempt_result& result);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
