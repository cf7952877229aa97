#ifndef FLAMINGOROUTE_SERVING_RECENT_OBJECTS_HPP
#define FLAMINGOROUTE_SERVING_RECENT_OBJECTS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace flamingoroute {

/// Records which objects this instance recently sent to which upstreams. Pure: no I/O, clocks or threads.
class recent_objects {
public:
    /// @param upstreamHash hash64 of the upstream's name, here and below
    void record(std::uint64_t upstreamHash, std::uint64_t objectHash, monotonic_time now);

    /// @return whether the upstream recently received a request for the object from this instance
    bool isRecent(std::uint64_t upstreamHash, std::uint64_t objectHash, monotonic_time now) const;

private:
    struct entry {
        std::uint64_t key = 0;
        monotonic_time at;
    };

    std::list<entry> m_byAge; ///< newest first
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_entries;
};

} // namespace flamingoroute

#endif
