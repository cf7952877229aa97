#include "flamingoroute/moves/share_cap.hpp"

namespace flamingoroute {

namespace {
constexpr int oneRequest = 100; // hundredths of a request
}

void share_cap::update(const std::vector<version_split>& splits)
{
    const std::lock_guard lock(m_mutex);
    std::map<service_id, service_state> services;
    for (const auto& split : splits) {
        auto& state = services[split.service];
        state.split = split;
        const auto existing = m_services.find(split.service);
        if (existing == m_services.end())
            continue;
        const auto& previous = existing->second.split;
        const bool isSameMove = previous.from == split.from && previous.to == split.to;
        if (isSameMove && split.percent >= previous.percent)
            state.creditByRoute = existing->second.creditByRoute;
    }
    m_services = std::move(services);
    m_hasSplits = !m_services.empty();
}

version_id share_cap::choose(const service& requestedService, const route& matchedRoute, bool isRetry)
{
    if (!m_hasSplits)
        return requestedService.currentVersion;
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(requestedService.name);
    if (found == m_services.end())
        return requestedService.currentVersion;
    auto& state = found->second;
    auto& credit = state.creditByRoute[matchedRoute.name];
    credit += state.split.percent;
    if (credit < oneRequest)
        return state.split.from;
    if (isRetry) {
        credit = oneRequest - 1;
        return state.split.from;
    }
    credit -= oneRequest;
    return state.split.to;
}

} // namespace flamingoroute
