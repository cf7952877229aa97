#ifndef FLAMINGOROUTE_LIMITS_ADMISSION_DECISION_HPP
#define FLAMINGOROUTE_LIMITS_ADMISSION_DECISION_HPP

#include <cstdint>

namespace flamingoroute {

/// Decision on one waiting request.
struct admission_decision {
    std::uint64_t request = 0;
    bool isAdmitted = false;

    bool operator==(const admission_decision&) const = default;
};

} // namespace flamingoroute

#endif
