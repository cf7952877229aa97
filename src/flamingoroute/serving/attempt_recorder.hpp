#ifndef FLAMINGOROUTE_SERVING_ATTEMPT_RECORDER_HPP
#define FLAMINGOROUTE_SERVING_ATTEMPT_RECORDER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/placement/attempt_report.hpp"

#include <optional>

namespace flamingoroute {

struct admitted_request;
struct attempt_evidence;
struct exchange_result;
struct sent_attempt;
struct serving_state;
struct upstream_answer;

/// Records what an attempt shows about its upstream, the path to it, the times of its rule and its version.
class attempt_recorder {
public:
    /// The arguments must outlive the recorder.
    attempt_recorder(serving_state& state, const admitted_request& request, const sent_attempt& sent);

    /// Records an attempt that ended with an answer or a failure.
    void recordResult(const exchange_result& result, const upstream_answer& interpretation) const;

    /// Records an attempt that was cancelled before its answer.
    /// @param hasSent whether any of its bytes may have reached the upstream
    void recordCancelled(attempt_verdict verdict, bool hasSent) const;

private:
    void recordLink(const exchange_result& result) const;
    attempt_report reportOf(const exchange_result& result, const upstream_answer& interpretation) const;
    /// Takes the attempt out of the usage counts: its upstream did not run it.
    void takeBackUsage() const;
    /// Counts the attempt as started later than expected.
    void moveUsage(microseconds later) const;
    void recordReport(const attempt_report& report) const;
    std::optional<double> requestLimit() const;
    void recordLeaving() const;
    void updateEstimates(const exchange_result& result, const upstream_answer& interpretation) const;
    void recordVersionSample(const attempt_evidence& evidence) const;
    double timeRatio() const;
    /// @return @p taken divided by the time that upstreams usually take for the request: with its object cached, or
    ///         without if that is possible and explains the time
    double expectedRatioOf(microseconds taken) const;
    /// @return whether the attempt may have waited for a slot of its upstream
    bool isUpstreamFull() const;

    serving_state& m_state;
    const admitted_request& m_request;
    const sent_attempt& m_sent;
};

} // namespace flamingoroute

#endif
