#ifndef FLAMINGOROUTE_STORE_OBJECT_INDEX_HPP
#define FLAMINGOROUTE_STORE_OBJECT_INDEX_HPP

#include "flamingoroute/store/fleet_object.hpp"
#include "flamingoroute/store/object_event.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoroute {

/// The known objects of one kind, by name and revision. Separates new changes from duplicate and outdated ones.
/// Performs no I/O.
class object_index {
public:
    /// Replaces the content by a list of all objects.
    /// @return the changes from the previous content
    std::vector<object_event> replace(const std::vector<fleet_object>& objects);

    /// Applies one change.
    /// @return whether it is new; false if it, or a later one, has been applied already
    bool apply(const object_event& event);

    /// @return a hash of all names and revisions, independent of the order of the changes
    std::uint64_t contentHash() const { return m_hash; }

private:
    void set(const std::string& name, std::uint64_t revision);
    void erase(std::map<std::string, std::uint64_t>::iterator known);

    std::map<std::string, std::uint64_t> m_revisions; ///< by name
    std::uint64_t m_hash = 0;
};

} // namespace flamingoroute

#endif
