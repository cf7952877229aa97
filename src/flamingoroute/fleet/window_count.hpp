#ifndef FLAMINGOROUTE_FLEET_WINDOW_COUNT_HPP
#define FLAMINGOROUTE_FLEET_WINDOW_COUNT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingoroute {

/// Counts events in a sliding window, with a resolution of one slot.
class window_count {
public:
    /// @param window the same in each call
    void add(monotonic_time now, microseconds window)
    {
        const auto slot = slotAt(now, window);
        auto& part = m_parts[static_cast<std::size_t>(slot) % slotCount];
        if (part.slot != slot)
            part = { slot, 0 };
        ++part.count;
    }

    /// @return events in the window before @p now
    std::uint32_t count(monotonic_time now, microseconds window) const
    {
        const auto newest = slotAt(now, window);
        std::uint32_t total = 0;
        for (const auto& part : m_parts)
            total += newest - part.slot < static_cast<std::int64_t>(slotCount) ? part.count : 0;
        return total;
    }

private:
    static constexpr std::size_t slotCount = 20;

    struct window_part {
        std::int64_t slot = INT64_MIN / 2;
        std::uint32_t count = 0;
    };

    /// There is one slot more than the window spans, so that the oldest, partly expired slot still counts.
    static std::int64_t slotAt(monotonic_time now, microseconds window)
    {
        return now.time_since_epoch().count() * static_cast<std::int64_t>(slotCount - 1) / window.count();
    }

    std::array<window_part, slotCount> m_parts {};
};

} // namespace flamingoroute

#endif
