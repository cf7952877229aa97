#ifndef FLAMINGOROUTE_FLEET_LOAD_CHANGES_HPP
#define FLAMINGOROUTE_FLEET_LOAD_CHANGES_HPP

#include "flamingoroute/fleet/upstream_load.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace flamingoroute {

/// Upstream loads that this instance still has to send on: an instance to its relays, a relay to its region. Of several
/// values for one upstream the newest counts, so lost, doubled and reordered messages do no harm. Pure: no I/O, clocks
/// or threads.
class load_changes {
public:
    void record(const upstream_load& load, monotonic_time now);

    /// Removes the loads that it returns, and outdated ones.
    /// @return at most @p maxCount loads, those first that differ most from what was returned before
    std::vector<upstream_load> take(std::size_t maxCount, monotonic_time now);

private:
    struct known_load {
        int requests = 0;
        monotonic_time measuredAt;
        int lastTaken = 0; ///< as returned by take() before
        bool isPending = false;
    };
    using load_map = std::map<std::uint32_t, known_load>;

    load_map m_loads;
};

} // namespace flamingoroute

#endif
