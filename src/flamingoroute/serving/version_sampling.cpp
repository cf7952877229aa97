#include "flamingoroute/serving/version_sampling.hpp"

namespace flamingoroute {

namespace {

/// An attempt that takes longer than this multiple of the time for an uncached object counts as slow.
constexpr double slowFactor = 3.0;
/// The same for an attempt that ran into its deadline: many rules time out before slowFactor is reached.
constexpr double minTimeoutRatio = 1.5;
/// Sent by an upstream that did not finish a request by its deadline.
constexpr int timeoutStatus = 504;

std::optional<version_sample> slowSample(const attempt_evidence& evidence)
{
    return evidence.isUpstreamCold ? std::nullopt : std::optional(version_sample::slow);
}

/// @return the sample of an attempt that was cancelled; its elapsed time is a lower bound
std::optional<version_sample> cancelledSample(const attempt_evidence& evidence, double minRatio)
{
    return evidence.coldRatio > minRatio ? slowSample(evidence) : std::nullopt;
}

} // namespace

std::optional<version_sample> versionSampleOf(const attempt_evidence& evidence)
{
    switch (evidence.verdict) {
    case attempt_verdict::served:
        return evidence.coldRatio > slowFactor ? slowSample(evidence) : std::optional(version_sample::good);
    case attempt_verdict::failed:
        return evidence.status == timeoutStatus ? slowSample(evidence) : std::optional(version_sample::failed);
    case attempt_verdict::broken:
        return version_sample::broken;
    case attempt_verdict::timed_out:
        return cancelledSample(evidence, minTimeoutRatio);
    case attempt_verdict::abandoned:
        return cancelledSample(evidence, slowFactor);
    case attempt_verdict::unreachable:
    case attempt_verdict::shed:
    case attempt_verdict::misdirected:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace flamingoroute
