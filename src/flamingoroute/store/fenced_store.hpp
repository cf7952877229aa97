#ifndef FLAMINGOROUTE_STORE_FENCED_STORE_HPP
#define FLAMINGOROUTE_STORE_FENCED_STORE_HPP

#include "flamingoroute/store/fenced_object.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <string>

namespace flamingoroute {

/// Writes objects under a lease. Each object carries the epoch of its last write; a write under a lower epoch is
/// refused, and each write is conditional on the version that was read, so that a holder that was paused past its
/// lease changes nothing once its successor has written. A successor begins by writing each object that it takes over.
class fenced_store {
public:
    /// @param store the platform; must outlive this
    explicit fenced_store(object_store& store);

    /// @return the object; one with version zero if there is none
    tl::expected<fenced_object, error> read(const std::string& kind, const std::string& name);

    /// @param previous what was read or written last
    /// @param body the new content
    /// @param epoch of the lease held; zero is refused
    /// @return the object as it is now, or `conflict` if another wrote since or the epoch has passed. After a lost
    ///         answer the object is read back: epoch and body tell whether the write took effect.
    tl::expected<fenced_object, error> write(const std::string& kind, const std::string& name,
        const fenced_object& previous, const std::string& body, object_version epoch);

private:
    tl::expected<fenced_object, error> settle(
        const std::string& kind, const std::string& name, const fenced_object& wanted, const error& cause);

    object_store& m_store;
};

} // namespace flamingoroute

#endif
