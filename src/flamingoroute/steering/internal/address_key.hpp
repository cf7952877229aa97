#ifndef FLAMINGOROUTE_STEERING_INTERNAL_ADDRESS_KEY_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_ADDRESS_KEY_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace flamingoroute {

/// An IPv6 address, or an IPv4 address mapped into IPv6, in numeric order.
struct address_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const address_key&) const = default;
    bool operator==(const address_key&) const = default;
};

/// The addresses from first to last, both included.
struct address_range {
    address_key first;
    address_key last;

    bool operator==(const address_range&) const = default;
};

/// @param text a numeric IPv4 or IPv6 address
std::optional<address_key> parseAddress(const std::string& text);

/// @param text CIDR notation, for example "10.1.0.0/16" or "2001:db8::/32"
std::optional<address_range> parseRange(const std::string& text);

/// @return the address after @p key; wraps to zero after the last
address_key nextAddress(address_key key);

} // namespace flamingoroute

#endif
