#ifndef FLAMINGOROUTE_STEERING_ALLOCATOR_RECORD_HPP
#define FLAMINGOROUTE_STEERING_ALLOCATOR_RECORD_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/steering/allocator_role.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// The object in the platform that records which instance allocates a failure domain's slots.
struct allocator_record {
    instance_run holder;
    std::uint64_t epoch = 0;
    bool isReleased = false; ///< the holder released the role and runs nothing under it any more
    std::vector<instance_run> predecessors; ///< earlier holders that may not have detected the end of their role

    bool operator==(const allocator_record&) const = default;
};

/// @return @p record as JSON
std::string toJson(const allocator_record& record);

/// @return the record, or `invalid_input`
tl::expected<allocator_record, error> allocatorRecordFromJson(const std::string& text);

} // namespace flamingoroute

#endif
