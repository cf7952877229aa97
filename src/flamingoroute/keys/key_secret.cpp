#include "flamingoroute/keys/key_secret.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>

namespace flamingoroute {

namespace {

constexpr std::size_t minPepperBytes = 16;
constexpr int keyWords = 8; ///< of 32 bits

} // namespace

tl::expected<std::string, error> readKeyPepper(const std::string& file)
{
    const std::string step = "keys.pepper";
    std::string pepper;
    if (!file.empty()) {
        const auto content = readFile(file);
        if (!content)
            return tl::unexpected(content.error());
        pepper = *content;
    } else if (const char* value = std::getenv(keyPepperVariable)) {
        pepper = value;
    }
    pepper.erase(pepper.find_last_not_of(" \t\r\n") + 1);
    const std::string origin = file.empty() ? keyPepperVariable : file;
    if (pepper.size() < minPepperBytes)
        return tl::unexpected(error { error_code::invalid_input, step, origin, "must hold at least 16 bytes" });
    return pepper;
}

std::string generateKey()
{
    std::random_device device;
    std::string key = "fk-";
    for (int i = 0; i < keyWords; ++i) {
        std::array<char, 9> digits {};
        std::snprintf(digits.data(), digits.size(), "%08x", device());
        key += digits.data();
    }
    return key;
}

} // namespace flamingoroute
