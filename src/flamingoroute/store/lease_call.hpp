#ifndef FLAMINGOROUTE_STORE_LEASE_CALL_HPP
#define FLAMINGOROUTE_STORE_LEASE_CALL_HPP

#include "flamingoroute/store/stored_object.hpp"

#include <string>

namespace flamingoroute {

enum class lease_call_kind {
    none,
    read,
    create,
    update,
};

/// A call to the platform that a lease machine requests.
struct lease_call {
    lease_call_kind kind = lease_call_kind::none;
    std::string value; ///< for a create or update
    object_version expected = 0; ///< for an update

    bool operator==(const lease_call&) const = default;
};

} // namespace flamingoroute

#endif
