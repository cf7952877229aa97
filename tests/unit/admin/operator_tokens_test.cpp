#include "flamingoroute/admin/operator_tokens.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(operator_tokens, finds_the_operator_of_a_complete_token_only)
{
    const auto tokens = operator_tokens::parse("# people\nada 0123456789abcdef\nbob fedcba9876543210 # night\n", "f");
    ASSERT_TRUE(tokens) << describe(tokens.error());
    EXPECT_EQ(tokens->operatorOf("fedcba9876543210"), "bob");
    EXPECT_FALSE(tokens->operatorOf("fedcba987654321"));
    EXPECT_FALSE(tokens->operatorOf(""));
}

TEST(operator_tokens, refuses_a_short_token_and_names_the_line)
{
    const auto tokens = operator_tokens::parse("ada 0123456789abcdef\nbob short\n", "f");
    ASSERT_FALSE(tokens);
    EXPECT_NE(tokens.error().detail.find("line 2"), std::string::npos);
}

} // namespace flamingoroute
