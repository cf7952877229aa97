#ifndef FLAMINGOROUTE_STEERING_SLOT_ENTRY_HPP
#define FLAMINGOROUTE_STEERING_SLOT_ENTRY_HPP

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// What an instance holds and wants of one upstream.
struct slot_entry {
    std::string upstream;
    int have = 0; ///< slots that the sender does not exceed from now on
    int wanted = 0; ///< for all that runs and waits now
    int steady = 0; ///< for the recent average of that

    bool operator==(const slot_entry&) const = default;
    MSGPACK_DEFINE(upstream, have, wanted, steady)
};

} // namespace flamingoroute

#endif
