#ifndef FLAMINGOROUTE_RUNTIME_MEMBER_DIRECTORY_HPP
#define FLAMINGOROUTE_RUNTIME_MEMBER_DIRECTORY_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace flamingoroute {

/// Addresses of the processes of each known instance. Thread-safe.
class member_directory {
public:
    /// Adds or replaces an instance.
    void put(const member& known);

    /// @return the member, or nothing if it is unknown
    std::optional<member> find(const instance_id& instance) const;

    /// @return the nng address of a process of @p instance, or nothing if it is unknown
    std::optional<endpoint> addressOf(const instance_id& instance, process_role role) const;

    /// @return all known instances, sorted by id
    std::vector<member> all() const;

    /// @return the names of all known instances, sorted
    std::vector<instance_id> ids() const;

private:
    mutable std::mutex m_mutex;
    std::map<instance_id, member> m_members;
};

} // namespace flamingoroute

#endif
