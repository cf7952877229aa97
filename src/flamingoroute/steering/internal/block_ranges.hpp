#ifndef FLAMINGOROUTE_STEERING_INTERNAL_BLOCK_RANGES_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_BLOCK_RANGES_HPP

#include "flamingoroute/steering/internal/address_key.hpp"

#include <cstdint>
#include <vector>

namespace flamingoroute {

/// A block of addresses and a value.
struct address_block {
    address_range range;
    std::uint32_t value = 0;
};

/// The start of a range that ends where the next one starts.
struct range_start {
    address_key first;
    std::uint32_t value = 0;

    bool operator==(const range_start&) const = default;
};

/// Turns nested blocks into disjoint ranges, each with the value of its innermost block.
/// @param blocks ranges that are disjoint or nested, as CIDR blocks are
/// @param outside the value of addresses in no block
/// @return sorted, beginning with address zero
std::vector<range_start> flattenBlocks(std::vector<address_block> blocks, std::uint32_t outside);

} // namespace flamingoroute

#endif
