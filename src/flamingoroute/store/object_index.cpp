#include "flamingoroute/store/object_index.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

#include <set>

namespace flamingoroute {

namespace {

std::uint64_t hashOfObject(const std::string& name, std::uint64_t revision)
{
    return mix64(hash64(name) ^ mix64(revision));
}

} // namespace

void object_index::set(const std::string& name, std::uint64_t revision)
{
    const auto [known, isNew] = m_revisions.try_emplace(name, revision);
    if (!isNew) {
        m_hash -= hashOfObject(name, known->second);
        known->second = revision;
    }
    m_hash += hashOfObject(name, revision);
}

void object_index::erase(std::map<std::string, std::uint64_t>::iterator known)
{
    m_hash -= hashOfObject(known->first, known->second);
    m_revisions.erase(known);
}

bool object_index::apply(const object_event& event)
{
    const auto& object = event.object;
    const auto known = m_revisions.find(object.name);
    const bool isKnown = known != m_revisions.end();
    if (event.isDeleted) {
        // An object of the same name may have been created after the deletion.
        if (!isKnown || object.revision < known->second)
            return false;
        erase(known);
        return true;
    }
    if (isKnown && object.revision <= known->second)
        return false;
    set(object.name, object.revision);
    return true;
}

std::vector<object_event> object_index::replace(const std::vector<fleet_object>& objects)
{
    std::vector<object_event> changes;
    std::set<std::string> listed;
    for (const auto& object : objects) {
        listed.insert(object.name);
        const auto known = m_revisions.find(object.name);
        if (known != m_revisions.end() && known->second == object.revision)
            continue;
        set(object.name, object.revision);
        changes.push_back({ false, object });
    }
    for (auto known = m_revisions.begin(); known != m_revisions.end();) {
        const auto next = std::next(known);
        if (!listed.contains(known->first)) {
            object_event deletion { true, {} };
            deletion.object.name = known->first;
            deletion.object.revision = known->second;
            changes.push_back(std::move(deletion));
            erase(known);
        }
        known = next;
    }
    return changes;
}

} // namespace flamingoroute
