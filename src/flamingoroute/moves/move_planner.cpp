#include "flamingoroute/moves/move_planner.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr double minRequestsPerSecond = 0.001;
constexpr double maxStepMilliseconds = 1e9;

int divideUp(int value, int divisor) { return (value + divisor - 1) / divisor; }

milliseconds timeToReachCap(int sharePercent, int factor, const plan_input& input, const move_settings& settings)
{
    milliseconds total { 0 };
    while (sharePercent < input.capPercent) {
        sharePercent = std::min(sharePercent * factor, input.capPercent);
        total += stepTime(sharePercent, input.requestsPerSecond, settings);
    }
    return total;
}

} // namespace

milliseconds stepTime(int sharePercent, double requestsPerSecond, const move_settings& settings)
{
    const double newPerSecond = std::max(requestsPerSecond * sharePercent / 100, minRequestsPerSecond);
    const double sampling = std::min(1000.0 * settings.samplesPerStep / newPerSecond, maxStepMilliseconds);
    const milliseconds dwell(static_cast<std::int64_t>(sampling));
    return std::max(dwell, settings.minDwell) + settings.stepOverhead;
}

std::vector<int> planShares(const plan_input& input, const move_settings& settings)
{
    std::vector<int> shares;
    milliseconds left = input.timeLeft - settings.publishTime;
    int share = input.capPercent;
    while (true) {
        left -= stepTime(share, input.requestsPerSecond, settings);
        if (left < milliseconds { 0 })
            break;
        shares.push_back(share);
        if (share <= settings.firstSharePercent)
            break;
        share = std::max(divideUp(share, settings.growthFactor), settings.firstSharePercent);
    }
    std::reverse(shares.begin(), shares.end());
    return shares;
}

int firstShare(const plan_input& input, const move_settings& settings)
{
    const auto plan = planShares(input, settings);
    const int planned = plan.empty() ? settings.maxFirstSharePercent : plan.front();
    const int maxShare = std::min(settings.maxFirstSharePercent, input.capPercent);
    return std::clamp(planned, std::min(settings.firstSharePercent, maxShare), maxShare);
}

int nextShare(int sharePercent, const plan_input& input, const move_settings& settings)
{
    sharePercent = std::max(sharePercent, 1);
    int factor = settings.growthFactor;
    const bool isRateKnown = input.requestsPerSecond > 0;
    const auto left = input.timeLeft - settings.publishTime;
    while (isRateKnown && factor < settings.maxGrowthFactor
        && timeToReachCap(sharePercent, factor, input, settings) > left)
        ++factor;
    return std::min(sharePercent * factor, input.capPercent);
}

} // namespace flamingoroute
