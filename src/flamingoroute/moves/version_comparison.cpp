#include "flamingoroute/moves/version_comparison.hpp"

#include "flamingoroute/fleet/version_tally.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingoroute {

namespace {

/// Attempts of two versions, and those of them with one kind of fault.
struct fault_counts {
    double faults = 0;
    double attempts = 0;
    double otherFaults = 0;
    double otherAttempts = 0;
};

/// How much larger a bad version's share of faulty attempts is than that of the others.
using excess_shares = std::array<double, 5>;

/// The smallest excess is the one that must be ruled out before a version is completed.
constexpr excess_shares failureExcess { 0.03, 0.06, 0.12, 0.25, 0.5 };
constexpr excess_shares slowExcess { 0.08, 0.16, 0.3, 0.5, 0.8 };

/// Bayes factors, bad against good, from which a version is bad or doubtful, and up to which it is proven.
constexpr double badFactor = 100;
constexpr double doubtfulFactor = 8;
constexpr double provenFactor = 0.02;
/// Fewer faults than this are no evidence against a version, however rare faults are otherwise.
constexpr double minFaults = 3;
constexpr double minDoubtfulFaults = 2;
/// Attempts without a fault that are assumed before any are counted.
constexpr double priorAttempts = 100;
constexpr double priorFaults = 0.5;

/// Limits of the share of lost connections, which come in bursts that hit one version more than the other by chance.
struct share_limits {
    std::uint32_t minCount = 0;
    double factor = 0; ///< of the other versions' share
    double margin = 0; ///< added to it
};

constexpr share_limits badBroken { 4, 3.0, 0.2 };
constexpr share_limits doubtfulBroken { 3, 2.0, 0.1 };

fault_counts failuresOf(const version_tally& counts)
{
    return { static_cast<double>(counts.failures), static_cast<double>(counts.attempts),
        static_cast<double>(counts.otherFailures), static_cast<double>(counts.otherAttempts) };
}

/// An upstream with many slow answers has a fault of its own, or the whole version is slow. The fault may have
/// begun after some answers.
bool isSlowByItself(const upstream_times& times)
{
    constexpr std::uint32_t minSlow = 3;
    constexpr double minSlowShare = 0.3;
    return times.slow >= minSlow && times.slow >= minSlowShare * times.timed;
}

/// Leaves out upstreams that are slow by themselves, as long as they are few: otherwise it is the version.
void leaveOutSlowUpstreams(fault_counts& counts, const std::vector<upstream_times>& upstreams)
{
    constexpr double maxShareOfAttempts = 0.34;
    const double maxAttempts = maxShareOfAttempts * counts.attempts;
    double attempts = 0;
    double faults = 0;
    for (const auto& times : upstreams) {
        if (!isSlowByItself(times))
            continue;
        attempts += times.timed;
        faults += times.slow;
    }
    if (attempts > maxAttempts)
        return;
    counts.attempts -= attempts;
    counts.faults -= std::min(counts.faults, faults);
}

fault_counts slownessOf(const version_tally& counts)
{
    const auto timed = counts.attempts - std::min(counts.attempts, counts.untimed);
    const auto otherTimed = counts.otherAttempts - std::min(counts.otherAttempts, counts.otherUntimed);
    fault_counts slowness { static_cast<double>(counts.slow), static_cast<double>(timed),
        static_cast<double>(counts.otherSlow), static_cast<double>(otherTimed) };
    leaveOutSlowUpstreams(slowness, counts.upstreams);
    return slowness;
}

/// @return the logarithm of the probability of a series of attempts with this share of faults
double logProbability(double faults, double attempts, double share)
{
    return faults * std::log(share) + (attempts - faults) * std::log(1 - share);
}

/// @return the probability of all counts if the version's share of faults exceeds that of the others by @p excess,
///         divided by their probability if all versions have the same share
double bayesFactor(const fault_counts& counts, double excess)
{
    constexpr double maxShare = 0.99;
    const double otherFaults = counts.otherFaults + priorFaults;
    const double otherAttempts = counts.otherAttempts + priorAttempts;
    const double otherShare = std::min(maxShare, otherFaults / otherAttempts);
    const double badShare = std::min(maxShare, otherShare + excess);
    const double commonShare = std::min(maxShare, (counts.faults + otherFaults) / (counts.attempts + otherAttempts));
    return std::exp(logProbability(counts.faults, counts.attempts, badShare)
        + logProbability(otherFaults, otherAttempts, otherShare)
        - logProbability(counts.faults + otherFaults, counts.attempts + otherAttempts, commonShare));
}

double averageBayesFactor(const fault_counts& counts, const excess_shares& excess)
{
    double sum = 0;
    for (const double one : excess)
        sum += bayesFactor(counts, one);
    return sum / static_cast<double>(excess.size());
}

/// @return whether the evidence against the version reaches @p factor, for failures or for slowness
bool reaches(const version_tally& counts, double factor, double minCount)
{
    const auto failures = failuresOf(counts);
    const auto slowness = slownessOf(counts);
    return (failures.faults >= minCount && averageBayesFactor(failures, failureExcess) >= factor)
        || (slowness.faults >= minCount && averageBayesFactor(slowness, slowExcess) >= factor);
}

bool exceeds(const version_tally& counts, const share_limits& limits)
{
    const double share = counts.broken / std::max(1.0, static_cast<double>(counts.attempts));
    const double otherShare = counts.otherBroken / std::max(1.0, static_cast<double>(counts.otherAttempts));
    return counts.broken >= limits.minCount && share >= limits.factor * otherShare + limits.margin;
}

} // namespace

bool isVersionBad(const version_tally& counts)
{
    return reaches(counts, badFactor, minFaults) || exceeds(counts, badBroken);
}

bool isVersionDoubtful(const version_tally& counts)
{
    return reaches(counts, doubtfulFactor, minDoubtfulFaults) || exceeds(counts, doubtfulBroken);
}

bool isVersionUnsuspicious(const version_tally& counts)
{
    return slownessOf(counts).faults < minDoubtfulFaults
        && bayesFactor(failuresOf(counts), failureExcess.front()) <= provenFactor && !exceeds(counts, doubtfulBroken);
}

bool isVersionProven(const version_tally& counts)
{
    return bayesFactor(slownessOf(counts), slowExcess.front()) <= provenFactor
        && bayesFactor(failuresOf(counts), failureExcess.front()) <= provenFactor && !exceeds(counts, doubtfulBroken);
}

} // namespace flamingoroute
