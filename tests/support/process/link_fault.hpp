#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_LINK_FAULT_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_LINK_FAULT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute::testing {

/// What is wrong with a link of the fault proxy.
struct link_fault {
    bool isDisconnected = false; ///< open connections are reset, new ones refused
    bool isForwardDropped = false; ///< bytes from the dialling side vanish, connections stay open
    bool isBackwardDropped = false; ///< bytes from the listening side vanish, connections stay open
    bool isFreezingOpenConnections = false; ///< connections open when this is set go silent for good, new ones work
    milliseconds delay { 0 }; ///< added to each chunk, each way
    std::int64_t resetAfterAnswerBytes = -1; ///< a connection is reset after so many bytes back; negative: never

    bool operator==(const link_fault&) const = default;
};

} // namespace flamingoroute::testing

#endif
