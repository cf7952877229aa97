#ifndef FLAMINGOROUTE_MOVES_SEQUENTIAL_TEST_HPP
#define FLAMINGOROUTE_MOVES_SEQUENTIAL_TEST_HPP

#include <cstdint>

namespace flamingoroute {

/// The two hypotheses of a sequential test: the probability that a sample fails.
struct failure_probabilities {
    double healthy = 0.01;
    double faulty = 0.1;
};

/// Wald's sequential probability ratio test on failures, with a CUSUM alarm, so that a fault that begins late is found
/// as soon as one that was present from the start.
class sequential_test {
public:
    /// Adds a batch of samples.
    void add(std::uint64_t failures, std::uint64_t successes, const failure_probabilities& probabilities);

    /// @return whether the samples support the faulty hypothesis; false alarm at most once in a million samples of a
    ///         healthy version
    bool isAlarmed() const { return m_cusum >= alarmLevel; }

    /// @return whether the samples since the last restart support the healthy hypothesis
    bool isAccepted() const { return m_ratio <= acceptLevel; }

    /// @return whether the samples support neither hypothesis, or the healthy one
    bool isUnsuspicious() const { return m_cusum < alarmLevel / 3; }

    void restartAcceptance() { m_ratio = 0; }

    void restartAlarm() { m_cusum = 0; }

private:
    static constexpr double alarmLevel = 13.8; // ln(1e6)
    static constexpr double acceptLevel = -3.9; // ln(0.02)

    double m_ratio = 0;
    double m_cusum = 0;
};

} // namespace flamingoroute

#endif
