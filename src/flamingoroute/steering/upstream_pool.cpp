#include "flamingoroute/steering/upstream_pool.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace flamingoroute {

namespace {

refusal refuse(refusal_reason reason, const std::string& detail)
{
    refusal why;
    why.reason = reason;
    why.step = "steering.acquire";
    why.detail = detail;
    return why;
}

} // namespace

struct upstream_pool::state {
    steering_identity self;
    std::mutex mutex;
    std::condition_variable changed;
    configuration_ptr current;
    std::map<upstream_id, int> busy;
    std::set<upstream_id> leaving;
    std::uint64_t lastTicket = 0;

    /// @return 0 in the own failure domain, 1 in the own region, 2 elsewhere
    int tierOf(const upstream& candidate) const
    {
        if (candidate.failureDomain == self.failureDomain)
            return 0;
        const auto& domains = current->failureDomains;
        const auto isHome = std::any_of(domains.begin(), domains.end(), [&](const failure_domain& domain) {
            return domain.name == candidate.failureDomain && domain.region == self.region;
        });
        return isHome ? 1 : 2;
    }

    bool isUsable(const upstream& candidate, const upstream_wish& wish) const
    {
        return candidate.service == wish.service && candidate.version == wish.version && !candidate.isLeaving
            && !leaving.contains(candidate.name)
            && std::find(wish.tried.begin(), wish.tried.end(), candidate.name) == wish.tried.end();
    }

    const upstream* choose(const upstream_wish& wish, bool& isAnyUsable)
    {
        const upstream* best = nullptr;
        std::pair<int, int> bestRank;
        for (const auto& candidate : current->upstreams) {
            if (!isUsable(candidate, wish))
                continue;
            isAnyUsable = true;
            const int inFlight = busy[candidate.name];
            const std::pair<int, int> rank { tierOf(candidate), inFlight };
            if (inFlight < candidate.slots && (!best || rank < bestRank)) {
                best = &candidate;
                bestRank = rank;
            }
        }
        return best;
    }
};

upstream_pool::upstream_pool(steering_identity self)
    : m_state(std::make_unique<state>())
{
    m_state->self = std::move(self);
}

upstream_pool::~upstream_pool() = default;

void upstream_pool::adopt(configuration_ptr current)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->current = std::move(current);
    m_state->changed.notify_all();
}

tl::expected<chosen_upstream, refusal> upstream_pool::acquire(const upstream_wish& wish)
{
    std::unique_lock lock(m_state->mutex);
    while (true) {
        if (!m_state->current)
            return tl::unexpected(refuse(refusal_reason::not_ready, "no configuration is in force yet"));
        bool isAnyUsable = false;
        if (const auto* best = m_state->choose(wish, isAnyUsable)) {
            ++m_state->busy[best->name];
            return chosen_upstream { *best, ++m_state->lastTicket };
        }
        if (!isAnyUsable)
            return tl::unexpected(refuse(refusal_reason::no_healthy_upstream, "no upstream runs this version"));
        if (m_state->changed.wait_until(lock, wish.deadline) == std::cv_status::timeout)
            return tl::unexpected(refuse(refusal_reason::no_capacity, "no slot became free in time"));
    }
}

void upstream_pool::release(const chosen_upstream& chosen, const attempt_result& result)
{
    const std::lock_guard lock(m_state->mutex);
    --m_state->busy[chosen.target.name];
    if (result.isUpstreamLeaving)
        m_state->leaving.insert(chosen.target.name);
    m_state->changed.notify_all();
}

} // namespace flamingoroute
