#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_NOTICE_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_NOTICE_HPP

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace flamingoroute {

/// Notifies other instances that an upstream failed while running a request with this fingerprint, or that such a
/// request was answered completely after all.
struct quarantine_notice {
    std::string fingerprint;
    std::string upstreamName; ///< empty: the request was answered completely
    std::uint32_t ageMs = 0; ///< time since the broken attempt, accumulated over all hops

    bool operator==(const quarantine_notice&) const = default;
    MSGPACK_DEFINE(fingerprint, upstreamName, ageMs)
};

} // namespace flamingoroute

#endif
