#ifndef FLAMINGOROUTE_STORE_OBJECT_INDEX_HPP
#define FLAMINGOROUTE_STORE_OBJECT_INDEX_HPP

#include "flamingoroute/store/fleet_object.hpp"
#include "flamingoroute/store/object_event.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoroute {

/// Which objects of one kind are known, by name and revision. Tells changes that are news from those that are not.
/// Pure.
class object_index {
public:
    /// Takes the list of all objects.
    /// @return the changes since what was known before
    std::vector<object_event> replace(const std::vector<fleet_object>& objects);

    /// Takes one change.
    /// @return whether it is news; false also if a later one is known already
    bool apply(const object_event& event);

    /// @return a hash of all names and revisions that does not depend on the order of the changes
    std::uint64_t contentHash() const { return m_hash; }

private:
    void set(const std::string& name, std::uint64_t revision);
    void erase(std::map<std::string, std::uint64_t>::iterator known);

    std::map<std::string, std::uint64_t> m_revisions; ///< by name
    std::uint64_t m_hash = 0;
};

} // namespace flamingoroute

#endif
