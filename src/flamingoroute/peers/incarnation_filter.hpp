#ifndef FLAMINGOROUTE_PEERS_INCARNATION_FILTER_HPP
#define FLAMINGOROUTE_PEERS_INCARNATION_FILTER_HPP

#include "flamingoroute/peers/envelope.hpp"

#include <map>
#include <utility>

namespace flamingoroute {

/// Rejects messages of processes that a newer incarnation has replaced. Not thread-safe.
class incarnation_filter {
public:
    /// @return false if a message of a higher incarnation of the same process was received before
    bool accept(const envelope& message)
    {
        auto& highest = m_highest[{ message.from, message.role }];
        if (message.fromIncarnation < highest)
            return false;
        highest = message.fromIncarnation;
        return true;
    }

private:
    std::map<std::pair<instance_id, process_role>, incarnation> m_highest;
};

} // namespace flamingoroute

#endif
