#include "flamingoroute/moves/version_comparison.hpp"

#include "flamingoroute/fleet/version_tally.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// How a share of attempts must exceed that of the other versions for a version to be bad.
struct share_limits {
    std::uint32_t minCount = 0;
    double factor = 0; ///< of the other versions' share
    double margin = 0; ///< added to it
};

struct comparison_limits {
    share_limits failures;
    share_limits slow; ///< in an overload, requests for all versions time out
    share_limits broken; ///< lost connections come in bursts that hit one version more than the other by chance
};

constexpr comparison_limits badLimits { { 3, 3.0, 0.04 }, { 4, 2.0, 0.2 }, { 4, 3.0, 0.2 } };
constexpr comparison_limits doubtLimits { { 2, 2.0, 0.02 }, { 2, 1.5, 0.1 }, { 3, 2.0, 0.1 } };

double shareOf(std::uint32_t count, std::uint32_t attempts)
{
    return static_cast<double>(count) / std::max(1.0, static_cast<double>(attempts));
}

bool exceeds(double share, double otherShare, std::uint32_t count, const share_limits& limits)
{
    return count >= limits.minCount && share >= limits.factor * otherShare + limits.margin;
}

bool exceedsAny(const version_tally& counts, const comparison_limits& limits)
{
    const double failed = shareOf(counts.failures, counts.attempts);
    const double otherFailed = shareOf(counts.otherFailures, counts.otherAttempts);
    const double slow = shareOf(counts.slow, counts.attempts);
    const double otherSlow = shareOf(counts.otherSlow, counts.otherAttempts);
    const double broken = shareOf(counts.broken, counts.attempts);
    const double otherBroken = shareOf(counts.otherBroken, counts.otherAttempts);
    return exceeds(failed, otherFailed, counts.failures, limits.failures)
        || exceeds(slow, otherSlow, counts.slow, limits.slow)
        || exceeds(broken, otherBroken, counts.broken, limits.broken);
}

} // namespace

bool isVersionBad(const version_tally& counts) { return exceedsAny(counts, badLimits); }

bool isVersionDoubtful(const version_tally& counts) { return exceedsAny(counts, doubtLimits); }

} // namespace flamingoroute
