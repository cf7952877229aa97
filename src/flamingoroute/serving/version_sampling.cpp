#include "flamingoroute/serving/version_sampling.hpp"

namespace flamingoroute {

namespace {

/// An attempt that takes longer than this multiple of the time for an uncached object counts as slow.
constexpr double slowFactor = 3.0;

} // namespace

std::optional<version_sample> versionSampleOf(const attempt_evidence& evidence)
{
    const bool isSlow = evidence.coldRatio > slowFactor;
    switch (evidence.verdict) {
    case attempt_verdict::served:
        return isSlow ? version_sample::slow : version_sample::good;
    case attempt_verdict::failed:
        return version_sample::failed;
    case attempt_verdict::broken:
        return version_sample::broken;
    case attempt_verdict::timed_out:
    case attempt_verdict::abandoned:
        return isSlow ? std::optional(version_sample::slow) : std::nullopt;
    case attempt_verdict::unreachable:
    case attempt_verdict::shed:
    case attempt_verdict::misdirected:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace flamingoroute
