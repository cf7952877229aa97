#include "flamingoroute/admin/operator_tokens.hpp"

#include "flamingoroute/keys/key_hasher.hpp"

#include <sstream>

namespace flamingoroute {

namespace {

constexpr std::size_t minTokenLength = 16;

} // namespace

tl::expected<operator_tokens, error> operator_tokens::parse(const std::string& text, const std::string& origin)
{
    operator_tokens result;
    std::istringstream stream(text);
    std::string line;
    int number = 0;
    while (std::getline(stream, line)) {
        ++number;
        std::istringstream words(line.substr(0, line.find('#')));
        std::string name;
        std::string token;
        std::string rest;
        if (!(words >> name))
            continue;
        const bool isPair = (words >> token) && !(words >> rest) && token.size() >= minTokenLength;
        if (!isPair || !result.m_tokenByOperator.emplace(name, token).second) {
            return tl::unexpected(error { error_code::invalid_input, "operator_tokens.parse", origin,
                "line " + std::to_string(number) + ": must be a unique NAME and a TOKEN of at least 16 characters" });
        }
    }
    return result;
}

std::optional<std::string> operator_tokens::operatorOf(const std::string& token) const
{
    std::optional<std::string> found;
    for (const auto& [name, known] : m_tokenByOperator) {
        if (isEqualInConstantTime(token, known))
            found = name;
    }
    return found;
}

} // namespace flamingoroute
