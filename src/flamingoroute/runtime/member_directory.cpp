#include "flamingoroute/runtime/member_directory.hpp"

namespace flamingoroute {

void member_directory::put(const member& known)
{
    const std::lock_guard lock(m_mutex);
    m_members[known.instance] = known;
}

std::optional<member> member_directory::find(const instance_id& instance) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_members.find(instance);
    if (found == m_members.end())
        return std::nullopt;
    return found->second;
}

std::optional<endpoint> member_directory::addressOf(const instance_id& instance, process_role role) const
{
    const auto known = find(instance);
    if (!known)
        return std::nullopt;
    return role == process_role::entry ? known->entryAddress : known->controlAddress;
}

std::vector<member> member_directory::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<member> result;
    result.reserve(m_members.size());
    for (const auto& [instance, known] : m_members)
        result.push_back(known);
    return result;
}

std::vector<instance_id> member_directory::ids() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<instance_id> result;
    result.reserve(m_members.size());
    for (const auto& [instance, known] : m_members)
        result.push_back(instance);
    return result;
}

} // namespace flamingoroute
