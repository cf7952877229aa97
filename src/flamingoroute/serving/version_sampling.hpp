#ifndef FLAMINGOROUTE_SERVING_VERSION_SAMPLING_HPP
#define FLAMINGOROUTE_SERVING_VERSION_SAMPLING_HPP

#include "flamingoroute/moves/version_sample.hpp"
#include "flamingoroute/placement/attempt_report.hpp"

#include <optional>

namespace flamingoroute {

/// What an attempt shows about its upstream's version.
struct attempt_evidence {
    attempt_verdict verdict = attempt_verdict::served;
    int status = 0; ///< of the answer, if there is one
    double timeRatio = 0; ///< elapsed time divided by the time that other upstreams take for an object cached as well
    bool isUpstreamCold = false; ///< an upstream that has just started is slow for some seconds, whatever its version
    bool isUpstreamFull = false; ///< the attempt may have waited for a slot, which takes time whatever the version

    bool operator==(const attempt_evidence&) const = default;
};

/// @return the sample for the verdict on the version; empty if the attempt shows nothing about it
std::optional<version_sample> versionSampleOf(const attempt_evidence& evidence);

} // namespace flamingoroute

#endif
