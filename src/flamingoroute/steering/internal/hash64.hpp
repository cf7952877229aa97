#ifndef FLAMINGOROUTE_STEERING_INTERNAL_HASH64_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_HASH64_HPP

#include <cstdint>
#include <string_view>

namespace flamingoroute {

/// Mixes a 64-bit number (the finalizer of SplitMix64). The same on every machine.
inline std::uint64_t mix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9;
    value = (value ^ value >> 27) * 0x94d049bb133111eb;
    return value ^ value >> 31;
}

/// FNV-1a of a text, mixed. The same on every machine.
inline std::uint64_t hash64(std::string_view text)
{
    std::uint64_t value = 0xcbf29ce484222325;
    for (const char character : text)
        value = (value ^ static_cast<unsigned char>(character)) * 0x100000001b3;
    return mix64(value);
}

} // namespace flamingoroute

#endif
