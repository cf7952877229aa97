#include "flamingoroute/moves/share_cap.hpp"

namespace flamingoroute {

namespace {
constexpr int oneRequest = 100; // hundredths
}

void share_cap::update(const std::vector<version_split>& splits)
{
    const std::lock_guard lock(m_mutex);
    std::map<service_id, service_state> services;
    for (const auto& split : splits) {
        auto& state = services[split.service];
        state.split = split;
        const auto known = m_services.find(split.service);
        if (known == m_services.end())
            continue;
        const auto& before = known->second.split;
        const bool isSameMove = before.from == split.from && before.to == split.to;
        if (isSameMove && split.percent >= before.percent)
            state.earnedByRoute = known->second.earnedByRoute;
    }
    m_services = std::move(services);
    m_hasSplits = !m_services.empty();
}

version_id share_cap::choose(const service& wanted, const route& way, bool isRetry)
{
    if (!m_hasSplits)
        return wanted.currentVersion;
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(wanted.name);
    if (found == m_services.end())
        return wanted.currentVersion;
    auto& state = found->second;
    auto& earned = state.earnedByRoute[way.name];
    earned += state.split.percent;
    if (earned < oneRequest)
        return state.split.from;
    if (isRetry) {
        earned = oneRequest - 1;
        return state.split.from;
    }
    earned -= oneRequest;
    return state.split.to;
}

} // namespace flamingoroute
