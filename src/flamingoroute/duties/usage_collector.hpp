#ifndef FLAMINGOROUTE_DUTIES_USAGE_COLLECTOR_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_COLLECTOR_HPP

#include "flamingoroute/duties/usage_counts.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace flamingoroute {

/// Sums the counts of instances and regions by window. Repeated messages replace earlier ones. Pure: no I/O, clocks or
/// threads.
class usage_collector {
public:
    /// Records the counts of an instance.
    /// @param current the window that is open now; counts of windows far from it are ignored
    void recordInstance(const usage_counts& counts, window_index current);

    /// Records the sum of another region as its relay knows it.
    void recordRegion(const usage_counts& sum, window_index current);

    /// @return the sum of the counts that instances of @p region sent to this one
    usage_counts sumOfRegion(const std::string& region, window_index window) const;

    /// @return the sum over all regions. For each region the more complete of two is taken: the sum of what its
    ///         instances sent to this one, or the sum that its relay sent.
    usage_counts total(window_index window) const;

    /// @return the oldest window that counts were recorded for
    std::optional<window_index> oldestWindow() const;

private:
    struct window_counts {
        std::map<std::pair<std::string, std::uint64_t>, usage_counts> instances; ///< by name and incarnation
        std::map<std::string, usage_counts> regions;
    };

    window_counts* windowFor(window_index window, window_index current);
    static std::map<std::string, usage_counts> sumsByRegion(const window_counts& counts);

    std::map<window_index, window_counts> m_windows;
};

} // namespace flamingoroute

#endif
