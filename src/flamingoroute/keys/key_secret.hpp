#ifndef FLAMINGOROUTE_KEYS_KEY_SECRET_HPP
#define FLAMINGOROUTE_KEYS_KEY_SECRET_HPP

#include "flamingoroute/model/error.hpp"

#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// The environment variable that holds the pepper if no file is given.
inline constexpr const char* keyPepperVariable = "FLAMINGOROUTE_KEY_PEPPER";

/// Reads the pepper of the key hashes.
/// @param file a file that holds nothing else, or empty: the environment variable is read
/// @return the pepper without white space at its end, or `invalid_input` if there is none or it is too short; the
///         error never contains the pepper
tl::expected<std::string, error> readKeyPepper(const std::string& file);

/// @return a new key with 256 random bits, for example "fk-3f9c..."; shown once to the operator and stored nowhere
std::string generateKey();

} // namespace flamingoroute

#endif
