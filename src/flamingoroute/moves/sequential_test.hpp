#ifndef FLAMINGOROUTE_MOVES_SEQUENTIAL_TEST_HPP
#define FLAMINGOROUTE_MOVES_SEQUENTIAL_TEST_HPP

#include <cstdint>

namespace flamingoroute {

/// The two hypotheses of a sequential test: the chance that a sample fails.
struct failure_chances {
    double healthy = 0.01;
    double faulty = 0.1;
};

/// Wald's sequential probability ratio test on failures, with a CUSUM alarm, so that a fault that begins late is found
/// as soon as one that was there from the start.
class sequential_test {
public:
    /// Takes a batch of samples.
    void add(std::uint64_t failures, std::uint64_t successes, const failure_chances& chances);

    /// @return whether samples speak for the faulty hypothesis: once in a million samples of a healthy version or less
    bool isAlarmed() const { return m_cusum >= alarmLevel; }

    /// @return whether samples since the last restart speak for the healthy hypothesis
    bool isAccepted() const { return m_ratio <= acceptLevel; }

    /// @return whether samples lean to neither hypothesis or to the healthy one
    bool isUnsuspicious() const { return m_cusum < alarmLevel / 3; }

    /// Starts the acceptance anew.
    void restartAcceptance() { m_ratio = 0; }

    /// Starts the alarm anew.
    void restartAlarm() { m_cusum = 0; }

private:
    static constexpr double alarmLevel = 13.8; // ln(1e6)
    static constexpr double acceptLevel = -3.9; // ln(0.02)

    double m_ratio = 0;
    double m_cusum = 0;
};

} // namespace flamingoroute

#endif
