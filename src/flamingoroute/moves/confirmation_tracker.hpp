#ifndef FLAMINGOROUTE_MOVES_CONFIRMATION_TRACKER_HPP
#define FLAMINGOROUTE_MOVES_CONFIRMATION_TRACKER_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/moves/move_settings.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingoroute {

/// Tracks which instances apply the active step.
class confirmation_tracker {
public:
    /// @param since time from which confirmations are received
    confirmation_tracker(const move_settings& settings, monotonic_time since)
        : m_settings(settings)
        , m_since(since)
    {
    }

    /// Records which step an instance reports to apply.
    void record(const instance_id& from, std::int64_t steppedAtUnixMs, monotonic_time now);

    /// @param members the known instances
    /// @return whether each of @p members applies the step, or has not reported for so long that it has fallen back to
    ///         at most the last safe share
    bool isConfirmed(const std::vector<instance_id>& members, std::int64_t steppedAtUnixMs, monotonic_time now) const;

private:
    struct confirmation {
        std::int64_t steppedAtUnixMs = 0;
        monotonic_time at {};
    };

    move_settings m_settings;
    monotonic_time m_since;
    std::map<instance_id, confirmation> m_confirmations;
};

} // namespace flamingoroute

#endif
