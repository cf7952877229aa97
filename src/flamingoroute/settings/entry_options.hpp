#ifndef FLAMINGOROUTE_SETTINGS_ENTRY_OPTIONS_HPP
#define FLAMINGOROUTE_SETTINGS_ENTRY_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// What the entry process may be told besides its addresses.
struct entry_options {
    int callerThreads = 256; ///< caller connections served at one time
    std::int64_t maxBodyBytes = 8 * 1024 * 1024; ///< largest body of a request
    std::int64_t maxAnswerBytes = 64 * 1024 * 1024; ///< largest body of an upstream's answer
    milliseconds callerTimeout { 10000 }; ///< a caller may be silent this long within a request
    milliseconds keepAliveTimeout { 30000 }; ///< an idle caller connection is kept this long
    milliseconds lookupTtl { 2000 }; ///< how long callers may use a look-up's answer
    milliseconds stopTimeout { 30000 }; ///< a planned stop ends after this at the latest

    bool operator==(const entry_options&) const = default;
};

} // namespace flamingoroute

#endif
