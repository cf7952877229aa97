#ifndef FLAMINGOROUTE_STORE_FENCED_STORE_HPP
#define FLAMINGOROUTE_STORE_FENCED_STORE_HPP

#include "flamingoroute/store/fenced_object.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <string>

namespace flamingoroute {

/// Writes objects under a lease, with fencing. Each object stores the epoch of its last write. A write under a lower
/// epoch is rejected, and each write is conditional on the version that was read, so a holder that was paused until
/// after its lease expired cannot change an object that its successor has written. A successor must first write each
/// object that it takes over.
class fenced_store {
public:
    /// @param store the platform; must outlive this object
    explicit fenced_store(object_store& store);

    /// @return the object, with version zero if it does not exist
    tl::expected<fenced_object, error> read(const std::string& kind, const std::string& name);

    /// @param previous the object as last read or written
    /// @param body the new content
    /// @param epoch of the lease held; zero is rejected
    /// @return the written object, or `conflict` if another process wrote since or a later epoch exists. After a lost
    ///         answer the object is read back; its epoch and body show whether the write took effect.
    tl::expected<fenced_object, error> write(const std::string& kind, const std::string& name,
        const fenced_object& previous, const std::string& body, object_version epoch);

private:
    tl::expected<fenced_object, error> resolveUnknownOutcome(
        const std::string& kind, const std::string& name, const fenced_object& intended, const error& cause);

    object_store& m_store;
};

} // namespace flamingoroute

#endif
