#ifndef FLAMINGOROUTE_MODEL_ENDPOINT_HPP
#define FLAMINGOROUTE_MODEL_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace flamingoroute {

/// An IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
    bool operator==(const endpoint&) const = default;
};

/// @return "address:port", with brackets around an IPv6 address
std::string toString(const endpoint& where);

/// @param text "address:port" with a numeric IPv4 or bracketed IPv6 address
/// @return false if @p text is not of that form; @p result is unchanged then
bool parseEndpoint(const std::string& text, endpoint& result);

} // namespace flamingoroute

#endif
