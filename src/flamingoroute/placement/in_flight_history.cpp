#include "flamingoroute/placement/in_flight_history.hpp"

namespace flamingoroute {

void in_flight_history::record(int inFlight, monotonic_time now)
{
    m_changes[m_next] = { now, inFlight };
    m_next = (m_next + 1) % maxChanges;
}

int in_flight_history::at(monotonic_time time) const
{
    for (std::size_t back = 1; back < maxChanges; ++back) {
        const auto& earlier = m_changes[(m_next + maxChanges - back) % maxChanges];
        if (earlier.at <= time)
            return earlier.inFlight;
    }
    return m_changes[m_next].inFlight;
}

} // namespace flamingoroute
