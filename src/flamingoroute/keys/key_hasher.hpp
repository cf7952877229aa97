#ifndef FLAMINGOROUTE_KEYS_KEY_HASHER_HPP
#define FLAMINGOROUTE_KEYS_KEY_HASHER_HPP

#include <string>

namespace flamingoroute {

/// Hashes keys with a secret, so that the hashes that are stored and distributed cannot be reversed or brute-forced
/// without the secret.
class key_hasher {
public:
    /// @param pepper the fleet's secret; the same on every instance
    explicit key_hasher(std::string pepper);

    /// @param key the key that a caller presents
    /// @return lower-case hex of the HMAC-SHA-256 of @p key under the pepper
    std::string hash(const std::string& key) const;

private:
    std::string m_pepper;
};

/// Compares in a time that depends on the lengths only.
bool isEqualInConstantTime(const std::string& left, const std::string& right);

} // namespace flamingoroute

#endif
