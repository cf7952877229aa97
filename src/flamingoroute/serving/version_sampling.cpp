#include "flamingoroute/serving/version_sampling.hpp"

namespace flamingoroute {

namespace {

/// An answer in a smaller fraction of the expected time took none of the work that the expectation is for.
constexpr double minWorkRatio = 0.15;
/// An attempt that takes longer than this multiple of the expected time counts as slow. Times of one version and one
/// kind of request differ by far less.
constexpr double slowFactor = 1.65;
/// The same for an attempt that ran into its deadline: many rules time out before slowFactor is reached.
constexpr double minTimeoutRatio = 1.5;
/// The same for an attempt whose caller left early, which it does more often the longer it waits.
constexpr double minAbandonedRatio = 3.0;
/// Sent by an upstream that did not finish a request by its deadline.
constexpr int timeoutStatus = 504;

bool isTimeMeaningful(const attempt_evidence& evidence) { return !evidence.isUpstreamCold && !evidence.isUpstreamFull; }

version_sample servedSample(const attempt_evidence& evidence)
{
    if (!isTimeMeaningful(evidence) || evidence.timeRatio < minWorkRatio)
        return version_sample::untimed;
    return evidence.timeRatio > slowFactor ? version_sample::slow : version_sample::good;
}

/// @return the sample of an attempt that took at least as long as the evidence says, without an answer
std::optional<version_sample> unansweredSample(const attempt_evidence& evidence, double minRatio)
{
    const bool isSlow = isTimeMeaningful(evidence) && evidence.timeRatio > minRatio;
    return isSlow ? std::optional(version_sample::slow) : std::nullopt;
}

} // namespace

std::optional<version_sample> versionSampleOf(const attempt_evidence& evidence)
{
    switch (evidence.verdict) {
    case attempt_verdict::served:
        return servedSample(evidence);
    case attempt_verdict::failed:
        return evidence.status == timeoutStatus ? unansweredSample(evidence, 0) : version_sample::failed;
    case attempt_verdict::broken:
        return version_sample::broken;
    case attempt_verdict::timed_out:
        return unansweredSample(evidence, minTimeoutRatio);
    case attempt_verdict::abandoned:
        return unansweredSample(evidence, minAbandonedRatio);
    case attempt_verdict::unreachable:
    case attempt_verdict::shed:
    case attempt_verdict::misdirected:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace flamingoroute
