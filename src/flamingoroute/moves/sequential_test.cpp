#include "flamingoroute/moves/sequential_test.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

void sequential_test::add(std::uint64_t failures, std::uint64_t successes, const failure_chances& chances)
{
    const double perFailure = std::log(chances.faulty / chances.healthy);
    const double perSuccess = std::log((1 - chances.faulty) / (1 - chances.healthy));
    const double change = static_cast<double>(failures) * perFailure + static_cast<double>(successes) * perSuccess;
    m_ratio = std::min(m_ratio + change, alarmLevel);
    m_cusum = std::max(0.0, m_cusum + change);
}

} // namespace flamingoroute
