#ifndef FLAMINGOROUTE_MOVES_ROUTE_EVIDENCE_HPP
#define FLAMINGOROUTE_MOVES_ROUTE_EVIDENCE_HPP

#include "flamingoroute/moves/error_baseline.hpp"
#include "flamingoroute/moves/route_counts.hpp"
#include "flamingoroute/moves/sequential_test.hpp"

namespace flamingoroute {

/// The evidence for and against the new version on one route, or over all routes.
class route_evidence {
public:
    /// @param more attempts counted since the last call
    void add(const route_counts& more, monotonic_time now);

    /// Starts a new step: resets the acceptance, the slowness alarm and the counts; the error alarm is kept.
    void restartStep();

    /// Called when caches had time to warm up: slowness counts from now on.
    void endWarmUp()
    {
        m_slowness.restartAlarm();
        if (!m_slowness.isAccepted())
            m_slowness.restartAcceptance();
    }

    bool isFailing() const { return m_errors.isAlarmed(); }
    bool isSlow() const { return m_slowness.isAlarmed(); }
    bool isAccepted() const { return m_errors.isAccepted() && m_slowness.isAccepted(); }
    bool isUnsuspicious() const { return m_errors.isUnsuspicious() && m_slowness.isUnsuspicious(); }

    /// @return what was counted since the step began
    const route_counts& counts() const { return m_counts; }

private:
    error_baseline m_baseline;
    sequential_test m_errors;
    sequential_test m_slowness;
    route_counts m_counts;
};

} // namespace flamingoroute

#endif
