#include "flamingoroute/moves/sequential_test.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

void sequential_test::add(std::uint64_t failures, std::uint64_t successes, const failure_probabilities& probabilities)
{
    const double perFailure = std::log(probabilities.faulty / probabilities.healthy);
    const double perSuccess = std::log((1 - probabilities.faulty) / (1 - probabilities.healthy));
    const double change = static_cast<double>(failures) * perFailure + static_cast<double>(successes) * perSuccess;
    m_ratio = std::min(m_ratio + change, alarmLevel);
    m_cusum = std::max(0.0, m_cusum + change);
}

} // namespace flamingoroute
