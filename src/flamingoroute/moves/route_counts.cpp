#include "flamingoroute/moves/route_counts.hpp"

namespace flamingoroute {

bool hasNotDecreased(const route_counts& later, const route_counts& earlier)
{
    return later.newAttempts >= earlier.newAttempts && later.newErrors >= earlier.newErrors
        && later.newTimed >= earlier.newTimed && later.newSlow >= earlier.newSlow
        && later.oldAttempts >= earlier.oldAttempts && later.oldErrors >= earlier.oldErrors;
}

route_counts operator-(const route_counts& later, const route_counts& earlier)
{
    route_counts difference;
    difference.newAttempts = later.newAttempts - earlier.newAttempts;
    difference.newErrors = later.newErrors - earlier.newErrors;
    difference.newTimed = later.newTimed - earlier.newTimed;
    difference.newSlow = later.newSlow - earlier.newSlow;
    difference.oldAttempts = later.oldAttempts - earlier.oldAttempts;
    difference.oldErrors = later.oldErrors - earlier.oldErrors;
    return difference;
}

route_counts& operator+=(route_counts& total, const route_counts& more)
{
    total.newAttempts += more.newAttempts;
    total.newErrors += more.newErrors;
    total.newTimed += more.newTimed;
    total.newSlow += more.newSlow;
    total.oldAttempts += more.oldAttempts;
    total.oldErrors += more.oldErrors;
    return total;
}

} // namespace flamingoroute
