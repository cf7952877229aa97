#ifndef FLAMINGOROUTE_SERVING_RECENT_OBJECTS_HPP
#define FLAMINGOROUTE_SERVING_RECENT_OBJECTS_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace flamingoroute {

/// Remembers which upstreams handled which objects lately, as far as this instance sent them. Pure.
class recent_objects {
public:
    void record(const upstream_id& upstream, std::uint64_t objectHash, monotonic_time now);

    /// @return whether the upstream surely handled the object lately
    bool isRecent(const upstream_id& upstream, std::uint64_t objectHash, monotonic_time now) const;

private:
    struct entry {
        std::uint64_t key = 0;
        monotonic_time at;
    };

    std::list<entry> m_byAge; ///< the newest first
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_entries;
};

} // namespace flamingoroute

#endif
