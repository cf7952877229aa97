#include "flamingoroute/steering/internal/address_key.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace flamingoroute {

namespace {

constexpr int bitsOfAddress = 128;
constexpr int bitsOfWord = 64;
constexpr int mappedPrefixBits = 96; // IPv4 addresses are mapped to ::ffff:0:0/96
constexpr std::uint64_t mappedPrefix = 0xffff00000000;

std::uint64_t readWord(const unsigned char* bytes)
{
    std::uint64_t word = 0;
    for (int i = 0; i < 8; ++i)
        word = word << 8 | bytes[i];
    return word;
}

std::uint64_t hostMask(int prefixBits)
{
    if (prefixBits >= bitsOfWord)
        return 0;
    return prefixBits <= 0 ? ~std::uint64_t { 0 } : ~std::uint64_t { 0 } >> prefixBits;
}

} // namespace

std::optional<address_key> parseAddress(const std::string& text)
{
    std::array<unsigned char, 16> bytes {};
    if (inet_pton(AF_INET, text.c_str(), bytes.data()) == 1) {
        const std::uint64_t number = readWord(bytes.data()) >> 32;
        return address_key { 0, mappedPrefix | number };
    }
    if (inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1)
        return address_key { readWord(bytes.data()), readWord(bytes.data() + 8) };
    return std::nullopt;
}

std::optional<address_range> parseRange(const std::string& text)
{
    const auto slash = text.find('/');
    if (slash == std::string::npos)
        return std::nullopt;
    const std::string address = text.substr(0, slash);
    const auto base = parseAddress(address);
    int prefixBits = -1;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + slash + 1, end, prefixBits);
    if (!base || parsed.ec != std::errc {} || parsed.ptr != end || prefixBits < 0)
        return std::nullopt;
    if (address.find(':') == std::string::npos)
        prefixBits += mappedPrefixBits;
    if (prefixBits > bitsOfAddress)
        return std::nullopt;
    const std::uint64_t highMask = hostMask(prefixBits);
    const std::uint64_t lowMask = hostMask(prefixBits - bitsOfWord);
    return address_range { { base->high & ~highMask, base->low & ~lowMask },
        { base->high | highMask, base->low | lowMask } };
}

address_key nextAddress(address_key key)
{
    ++key.low;
    if (key.low == 0)
        ++key.high;
    return key;
}

} // namespace flamingoroute
