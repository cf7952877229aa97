#ifndef FLAMINGOROUTE_LIMITS_ALLOCATION_TABLE_HPP
#define FLAMINGOROUTE_LIMITS_ALLOCATION_TABLE_HPP

#include "flamingoroute/limits/allocation_row.hpp"
#include "flamingoroute/model/error.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// How a customer's rate and burst are split. Stored on the platform as one object for each customer with traffic.
/// Reserved shares sum to at most the limit. Written only by conditional updates.
struct allocation_table {
    customer_id customer;
    std::uint64_t version = 0; ///< grows by one with each write
    std::uint64_t epoch = 0; ///< version that set the holder of the pool; fences grants
    share limit; ///< rate and burst that are split
    revision limitRevision = 0; ///< configuration that the limit comes from
    allocation_row pool; ///< its instance is the allocator
    instance_id successor; ///< may take over when the holder is unresponsive; empty if there is none
    std::vector<allocation_row> floors; ///< sorted by instance
    std::string writer; ///< control process that wrote this version; identifies its write if the response was lost
    std::uint64_t writeNumber = 0; ///< of that process

    bool operator==(const allocation_table&) const = default;
};

/// The kind of the platform's objects that hold tables; their name is the customer's.
inline constexpr const char* allocationKind = "allocation";

/// @return @p table as JSON
std::string formatTable(const allocation_table& table);

/// @param text JSON as written by formatTable()
/// @return the table, or `invalid_input`
tl::expected<allocation_table, error> parseTable(const std::string& text);

/// @return the sum of all reserved shares
share reservedTotal(const allocation_table& table);

} // namespace flamingoroute

#endif
