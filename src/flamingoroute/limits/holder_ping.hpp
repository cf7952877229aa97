#ifndef FLAMINGOROUTE_LIMITS_HOLDER_PING_HPP
#define FLAMINGOROUTE_LIMITS_HOLDER_PING_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// Requests a successor's promise not to take over the sender's pools, or gives it. One for each pair of instances.
struct holder_ping {
    std::uint64_t sequence = 0; ///< of the ping; a promise repeats it; 0 if the receiver should read the tables and no
                                ///< promise is requested
    std::uint64_t senderIncarnation = 0; ///< of the holder's control process; a promise repeats it
    bool isPromise = false;
    std::vector<std::string> customers; ///< in a request: those whose table names the receiver as successor;
                                        ///< in a promise: those that the promise covers

    bool operator==(const holder_ping&) const = default;
    MSGPACK_DEFINE(sequence, senderIncarnation, isPromise, customers)
};

} // namespace flamingoroute

#endif
