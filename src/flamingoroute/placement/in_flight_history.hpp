#ifndef FLAMINGOROUTE_PLACEMENT_IN_FLIGHT_HISTORY_HPP
#define FLAMINGOROUTE_PLACEMENT_IN_FLIGHT_HISTORY_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <array>
#include <cstddef>

namespace flamingoroute {

/// How many requests of this instance an upstream had at times of the last few changes.
class in_flight_history {
public:
    /// @param now not before that of the last call
    void record(int inFlight, monotonic_time now);

    /// @return the number at @p time; for a time before the oldest change that is kept, the number after that change
    int at(monotonic_time time) const;

    bool operator==(const in_flight_history&) const = default;

private:
    struct change {
        monotonic_time at;
        int inFlight = 0;

        bool operator==(const change&) const = default;
    };
    static constexpr std::size_t maxChanges = 8;

    std::array<change, maxChanges> m_changes; ///< a ring; entries not yet used are at the beginning of time
    std::size_t m_next = 0;
};

} // namespace flamingoroute

#endif
