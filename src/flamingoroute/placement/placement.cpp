#include "flamingoroute/placement/placement.hpp"

#include "flamingoroute/placement/rendezvous_score.hpp"

#include <algorithm>
#include <numeric>

namespace flamingoroute {

namespace {

/// Cost of a failed attempt in multiples of the objective: the answer is lost, or one more attempt is needed.
constexpr double failureCost = 2.0;
constexpr double minSlowness = 0.1;

struct cost_estimate {
    microseconds wait { 0 };
    microseconds expected { 0 };
    microseconds baseline { 0 };
    double cost = 0;
};

cost_estimate estimateCost(const placement_request& request, const placement_candidate& candidate, bool isFirst)
{
    const bool isWarm = candidate.isWarm || (isFirst && request.isSticky);
    const double work = static_cast<double>((isWarm ? request.warmTime : request.coldTime).count());
    const double workPerSlot = work * candidate.slowness;
    const double warmPerSlot = static_cast<double>(request.warmTime.count()) * candidate.slowness;
    const double ahead = candidate.load + 1 - candidate.slots;
    const double wait = std::max(0.0, ahead) * warmPerSlot / std::max(1, candidate.slots);
    cost_estimate result;
    result.wait = microseconds(static_cast<std::int64_t>(wait));
    result.expected = candidate.pathDelay + result.wait + microseconds(static_cast<std::int64_t>(workPerSlot));
    const auto healthyWait = microseconds(static_cast<std::int64_t>(wait / std::max(minSlowness, candidate.slowness)));
    result.baseline = candidate.pathDelay + healthyWait + (candidate.isWarm ? request.warmTime : request.coldTime);
    const double objective = static_cast<double>(std::max<std::int64_t>(0, request.objective.count()));
    result.cost = static_cast<double>(result.expected.count()) + failureCost * candidate.failureShare * objective;
    return result;
}

} // namespace

std::vector<std::size_t> preferenceOrder(
    std::uint64_t objectHash, const std::vector<placement_candidate>& candidates, std::size_t count)
{
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const auto& candidate : candidates)
        scores.push_back(rendezvousScore(objectHash, candidate.nameHash, candidate.weight));
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    const auto resultEnd = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(), resultEnd, order.end(), [&](std::size_t left, std::size_t right) {
        return scores[left] != scores[right] ? scores[left] < scores[right] : left < right;
    });
    order.erase(resultEnd, order.end());
    return order;
}

placement_choice choosePlacement(const placement_request& request, const std::vector<placement_candidate>& candidates)
{
    placement_choice choice;
    const auto order = preferenceOrder(request.objectHash, candidates, maxEvaluatedCandidates);
    double bestCost = 0;
    std::optional<std::size_t> best;
    for (std::size_t place = 0; place < order.size(); ++place) {
        const auto estimate = estimateCost(request, candidates[order[place]], place == 0);
        if (best && estimate.cost >= bestCost)
            continue;
        best = order[place];
        bestCost = estimate.cost;
        choice.expected = estimate.expected;
        choice.wait = estimate.wait;
        choice.baseline = estimate.baseline;
    }
    const auto allowedWait = microseconds(
        static_cast<std::int64_t>(request.maxWaitShare * static_cast<double>(request.objective.count())));
    // With a free slot the candidate is always tried: the expected time may have been measured under other conditions.
    const bool isInTime = choice.wait == microseconds(0) || choice.expected <= request.timeLeft;
    const bool fits = choice.wait <= allowedWait && isInTime;
    if (best && fits)
        choice.index = best;
    return choice;
}

} // namespace flamingoroute
