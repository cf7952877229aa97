#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_PLATFORM_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_PLATFORM_HPP

#include "platform_stand_in/call_counters.hpp"
#include "platform_stand_in/fault_switch.hpp"
#include "platform_stand_in/object_table.hpp"

#include "flamingoroute/store/platform_instance.hpp"

#include <mutex>
#include <vector>

namespace flamingoroute::stand_in {

/// All that the stand-in's request handlers share.
struct platform {
    object_table objects;
    fault_switch faults;
    call_counters counters;
    std::mutex instancesMutex;
    std::vector<platform_instance> instances;
};

} // namespace flamingoroute::stand_in

#endif
