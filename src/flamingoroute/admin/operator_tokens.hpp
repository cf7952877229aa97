#ifndef FLAMINGOROUTE_ADMIN_OPERATOR_TOKENS_HPP
#define FLAMINGOROUTE_ADMIN_OPERATOR_TOKENS_HPP

#include "flamingoroute/model/error.hpp"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>

namespace flamingoroute {

/// The operators and their tokens for the admin API. Tokens are compared in constant time.
class operator_tokens {
public:
    /// @param text one "NAME TOKEN" pair per line; `#` starts a comment
    /// @param origin source of the text, for error messages
    /// @return the tokens, or `invalid_input` with the line number
    static tl::expected<operator_tokens, error> parse(const std::string& text, const std::string& origin);

    /// @return the operator that @p token belongs to, or nullopt
    std::optional<std::string> operatorOf(const std::string& token) const;

private:
    std::map<std::string, std::string> m_tokenByOperator;
};

} // namespace flamingoroute

#endif
