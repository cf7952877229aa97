#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_NOTICE_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_NOTICE_HPP

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace flamingoroute {

/// Tells other instances that an upstream broke off under a request with this fingerprint, or that such a request was
/// answered whole after all.
struct quarantine_notice {
    std::string fingerprint;
    std::string upstreamName; ///< empty: answered whole
    std::uint32_t ageMs = 0; ///< since the upstream broke off, added up along the way

    bool operator==(const quarantine_notice&) const = default;
    MSGPACK_DEFINE(fingerprint, upstreamName, ageMs)
};

} // namespace flamingoroute

#endif
