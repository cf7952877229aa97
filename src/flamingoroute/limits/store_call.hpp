#ifndef FLAMINGOROUTE_LIMITS_STORE_CALL_HPP
#define FLAMINGOROUTE_LIMITS_STORE_CALL_HPP

#include "flamingoroute/limits/allocation_table.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <optional>

namespace flamingoroute {

/// A call to the platform requested by the allocator: a read, or a conditional write.
struct store_call {
    customer_id customer;
    std::optional<allocation_table> write; ///< absent for a read
    object_version expected = 0; ///< version to be replaced; 0 creates the object if there is none

    bool operator==(const store_call&) const = default;
};

} // namespace flamingoroute

#endif
