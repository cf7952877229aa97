#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_LINK_FAULT_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_LINK_FAULT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute::testing {

/// Faults of a link of the fault proxy.
struct link_fault {
    bool isDisconnected = false; ///< open and new connections are reset
    bool isForwardDropped = false; ///< bytes from the connecting side are dropped, connections stay open
    bool isBackwardDropped = false; ///< bytes from the listening side are dropped, connections stay open
    bool isFreezingOpenConnections = false; ///< connections open when this is set hang permanently; new ones work
    milliseconds delay { 0 }; ///< added to each chunk, in each direction
    std::int64_t resetAfterAnswerBytes = -1; ///< resets a connection once the target sent more bytes; negative: never

    bool operator==(const link_fault&) const = default;
};

} // namespace flamingoroute::testing

#endif
