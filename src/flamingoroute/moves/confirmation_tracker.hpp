#ifndef FLAMINGOROUTE_MOVES_CONFIRMATION_TRACKER_HPP
#define FLAMINGOROUTE_MOVES_CONFIRMATION_TRACKER_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/moves/move_settings.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingoroute {

/// Which instances apply the step in force.
class confirmation_tracker {
public:
    /// @param since from when on confirmations are heard
    confirmation_tracker(const move_settings& settings, monotonic_time since)
        : m_settings(settings)
        , m_since(since)
    {
    }

    /// An instance said which step it applies.
    void record(const instance_id& from, std::int64_t steppedAtUnixMs, monotonic_time now);

    /// @param members the instances that are known
    /// @return whether each of @p members applies the step, or was not heard of for so long that it gives no more than
    ///         the last safe share
    bool isConfirmed(const std::vector<instance_id>& members, std::int64_t steppedAtUnixMs, monotonic_time now) const;

private:
    struct last_word {
        std::int64_t steppedAtUnixMs = 0;
        monotonic_time at {};
    };

    move_settings m_settings;
    monotonic_time m_since;
    std::map<instance_id, last_word> m_words;
};

} // namespace flamingoroute

#endif
