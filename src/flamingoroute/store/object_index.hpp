#ifndef FLAMINGOROUTE_STORE_OBJECT_INDEX_HPP
#define FLAMINGOROUTE_STORE_OBJECT_INDEX_HPP

#include "flamingoroute/store/fleet_object.hpp"
#include "flamingoroute/store/object_event.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoroute {

/// The known objects of one kind, by name, revision and content. Separates new changes from duplicate and outdated
/// ones. Performs no I/O.
class object_index {
public:
    /// What replace() does with known objects that a list lacks.
    enum class missing_objects { remove, keep };

    /// Replaces the content by a list of all objects.
    /// @return the changes from the previous content
    std::vector<object_event> replace(
        const std::vector<fleet_object>& objects, missing_objects missing = missing_objects::remove);

    /// @return whether @p objects lacks a known object
    bool hasOthersThan(const std::vector<fleet_object>& objects) const;

    /// Applies one change.
    /// @return whether it is new; false if it, or a later one, has been applied already
    bool apply(const object_event& event);

    /// @return a hash of all names, revision numbers and contents, independent of the order of the changes. The era is
    /// no
    ///         part of it: an object that a restoration did not change is the same in both eras.
    std::uint64_t contentHash() const { return m_hash; }

private:
    struct known_object {
        store_revision revision;
        std::uint64_t contentHash = 0;
    };

    using known_objects = std::map<std::string, known_object>;

    static std::uint64_t hashOf(const std::string& name, const known_object& known);
    void set(const fleet_object& object);
    void erase(known_objects::iterator known);

    known_objects m_known; ///< by name
    std::uint64_t m_hash = 0;
};

} // namespace flamingoroute

#endif
