#ifndef FLAMINGOROUTE_DUTIES_USAGE_COUNTS_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_COUNTS_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace flamingoroute {

/// Requests that upstreams began to run, by the customer's name.
using customer_counts = std::map<std::string, std::uint64_t>;

/// The number of a window of wall-clock time: window k begins k times its length after 1970.
using window_index = std::int64_t;

/// The counts of one instance, or of a region, in one window. Each message is complete, so it may be repeated.
struct usage_counts {
    std::string instance; ///< the sender
    std::uint64_t incarnation = 0; ///< of the sender
    std::string region;
    window_index window = 0;
    std::uint32_t instances = 1; ///< whose requests are counted
    customer_counts requests;

    bool operator==(const usage_counts&) const = default;
    MSGPACK_DEFINE(instance, incarnation, region, window, instances, requests)
};

/// Adds @p more to @p total.
inline void addCounts(customer_counts& total, const customer_counts& more)
{
    for (const auto& [customer, requests] : more)
        total[customer] += requests;
}

/// @return the requests of all customers
inline std::uint64_t sumOf(const customer_counts& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [customer, requests] : counts)
        sum += requests;
    return sum;
}

} // namespace flamingoroute

#endif
