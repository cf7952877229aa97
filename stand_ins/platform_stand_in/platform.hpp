#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_PLATFORM_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_PLATFORM_HPP

#include "platform_stand_in/call_counters.hpp"
#include "platform_stand_in/fault_injector.hpp"
#include "platform_stand_in/object_table.hpp"

#include "flamingoroute/store/platform_instance.hpp"

#include <mutex>
#include <vector>

namespace flamingoroute::stand_in {

/// State shared by the stand-in's request handlers.
struct platform {
    object_table objects;
    fault_injector faults;
    call_counters counters;
    std::mutex instancesMutex;
    std::vector<platform_instance> instances;
};

} // namespace flamingoroute::stand_in

#endif
