#ifndef FLAMINGOROUTE_SETTINGS_ENTRY_OPTIONS_HPP
#define FLAMINGOROUTE_SETTINGS_ENTRY_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// Settings of the entry process only.
struct entry_options {
    int callerThreads = 256; ///< caller connections served concurrently
    std::int64_t maxBodyBytes = 8 * 1024 * 1024; ///< maximum size of a request body
    std::int64_t maxAnswerBytes = 64 * 1024 * 1024; ///< maximum size of the body of an upstream's answer
    milliseconds callerTimeout { 10000 }; ///< maximum inactivity of a caller connection within a request
    milliseconds keepAliveTimeout { 30000 }; ///< idle timeout of caller connections
    milliseconds lookupTtl { 2000 }; ///< how long callers may cache the answer of a look-up
    milliseconds stopTimeout { 30000 }; ///< maximum duration of a planned stop

    bool operator==(const entry_options&) const = default;
};

} // namespace flamingoroute

#endif
