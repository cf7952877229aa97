#include "flamingoroute/store/object_index.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <set>

namespace flamingoroute {

std::uint64_t object_index::hashOf(const std::string& name, const known_object& known)
{
    return mix64(hash64(name) ^ mix64(known.revision.number) ^ known.contentHash);
}

void object_index::set(const fleet_object& object)
{
    const auto [known, isNew] = m_known.try_emplace(object.name);
    if (!isNew)
        m_hash -= hashOf(object.name, known->second);
    known->second = { object.revision, object.contentHash };
    m_hash += hashOf(object.name, known->second);
}

void object_index::erase(known_objects::iterator known)
{
    m_hash -= hashOf(known->first, known->second);
    m_known.erase(known);
}

bool object_index::apply(const object_event& event)
{
    const auto& object = event.object;
    const auto known = m_known.find(object.name);
    const bool isKnown = known != m_known.end();
    if (event.isDeleted) {
        // An object of the same name may have been created after the deletion.
        if (!isKnown || object.revision < known->second.revision)
            return false;
        erase(known);
        return true;
    }
    if (isKnown && object.revision <= known->second.revision)
        return false;
    set(object);
    return true;
}

std::vector<object_event> object_index::replace(const std::vector<fleet_object>& objects, missing_objects missing)
{
    std::vector<object_event> changes;
    std::set<std::string> listed;
    for (const auto& object : objects) {
        listed.insert(object.name);
        const auto known = m_known.find(object.name);
        const bool isSame = known != m_known.end() && known->second.revision.number == object.revision.number
            && known->second.contentHash == object.contentHash;
        set(object);
        if (!isSame)
            changes.push_back({ false, object });
    }
    if (missing == missing_objects::keep)
        return changes;
    for (auto known = m_known.begin(); known != m_known.end();) {
        const auto next = std::next(known);
        if (!listed.contains(known->first)) {
            object_event deletion { true, {} };
            deletion.object.name = known->first;
            deletion.object.revision = known->second.revision;
            changes.push_back(std::move(deletion));
            erase(known);
        }
        known = next;
    }
    return changes;
}

bool object_index::hasOthersThan(const std::vector<fleet_object>& objects) const
{
    std::set<std::string> listed;
    for (const auto& object : objects)
        listed.insert(object.name);
    return std::any_of(
        m_known.begin(), m_known.end(), [&](const auto& known) { return !listed.contains(known.first); });
}

} // namespace flamingoroute
