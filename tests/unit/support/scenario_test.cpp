#include "support/scenario/scenario.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

TEST(scenario_language, orders_commands_by_time_and_expands_repeats)
{
    const auto script = parseScenario("world w\nseeds 3..5\nat 1s stop # now\nfrom 0s to 1s each 500ms go on\n");
    ASSERT_TRUE(script);
    EXPECT_EQ(script->firstSeed, 3u);
    EXPECT_EQ(script->lastSeed, 5u);
    ASSERT_EQ(script->commands.size(), 4u);
    EXPECT_EQ(script->commands[2].words, std::vector<std::string> { "stop" });
    EXPECT_EQ(script->commands[3].line, 4);
}

TEST(scenario_language, names_line_and_word_of_an_error)
{
    const auto script = parseScenario("world w\n\nat 2parsecs stop\n");
    ASSERT_FALSE(script);
    EXPECT_EQ(describe("f", script.error()), "f:3: word '2parsecs': is not a time");
}

} // namespace flamingoroute::testing
