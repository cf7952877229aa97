#ifndef FLAMINGOROUTE_LIMITS_STORE_RESULT_HPP
#define FLAMINGOROUTE_LIMITS_STORE_RESULT_HPP

#include "flamingoroute/limits/allocation_table.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <optional>

namespace flamingoroute {

enum class store_outcome {
    done, ///< read or written
    absent, ///< read; the object does not exist
    conflict, ///< not written; the object has changed
    failed, ///< not read, or the outcome of the write is unknown
};

/// Result of a store_call.
struct store_result {
    customer_id customer;
    store_outcome outcome = store_outcome::failed;
    std::optional<allocation_table> table; ///< as read
    object_version version = 0; ///< of the object read or written

    bool operator==(const store_result&) const = default;
};

} // namespace flamingoroute

#endif
