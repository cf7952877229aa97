#ifndef FLAMINGOROUTE_STEERING_INTERNAL_WATER_FILL_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_WATER_FILL_HPP

#include <cstddef>
#include <vector>

namespace flamingoroute {

/// Divides whole units so that the smallest part is as large as possible (max-min fairness).
/// @param demands no part gets more than its demand
/// @param total the units to divide; reduced by the units given
/// @param firstServed index of the part that is served first when units are scarce
inline std::vector<int> waterFill(const std::vector<int>& demands, int& total, std::size_t firstServed)
{
    std::vector<int> given(demands.size(), 0);
    bool isAnyServed = true;
    while (total > 0 && isAnyServed) {
        isAnyServed = false;
        for (std::size_t step = 0; step < demands.size() && total > 0; ++step) {
            const auto index = (firstServed + step) % demands.size();
            if (given[index] >= demands[index])
                continue;
            ++given[index];
            --total;
            isAnyServed = true;
        }
    }
    return given;
}

} // namespace flamingoroute

#endif
