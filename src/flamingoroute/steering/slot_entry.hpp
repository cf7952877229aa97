#ifndef FLAMINGOROUTE_STEERING_SLOT_ENTRY_HPP
#define FLAMINGOROUTE_STEERING_SLOT_ENTRY_HPP

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// The slots of one upstream that an instance holds, and its demand for them.
struct slot_entry {
    std::string upstream;
    int held = 0; ///< slots that the sender does not exceed from now on
    int demand = 0; ///< slots for all requests that run and wait now
    int averageDemand = 0; ///< recent average of `demand`

    bool operator==(const slot_entry&) const = default;
    MSGPACK_DEFINE(upstream, held, demand, averageDemand)
};

} // namespace flamingoroute

#endif
