#include "platform/json_slices.hpp"

#include "platform/wire_table.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::platform {

TEST(json_slices, split_an_object_and_an_array_without_reading_their_values)
{
    const auto members = membersOf(R"( { "a" : [1, {"b":"]}"}] , "c\"d":1e999,"e":null } )");
    ASSERT_EQ(members.size(), 3U);
    EXPECT_EQ(valueOf(members, "a"), R"([1, {"b":"]}"}])");
    EXPECT_EQ(valueOf(members, "c\\\"d"), "1e999");
    EXPECT_EQ(valueOf(members, "none"), "");
    EXPECT_EQ(elementsOf(R"([ "x,y" , {} ,[]])"), (std::vector<std::string_view> { R"("x,y")", "{}", "[]" }));
    EXPECT_TRUE(membersOf("{}").empty());
    EXPECT_TRUE(elementsOf("[ ]").empty());
}

TEST(json_slices, split_around_a_value_that_is_nested_very_deeply)
{
    constexpr int depth = 1'000'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string text = R"({"deep":)" + deep + R"(,"next":1})";
    EXPECT_EQ(valueOf(membersOf(text), "next"), "1");
}

TEST(json_slices, reject_texts_that_are_cut_short_or_go_on)
{
    for (const std::string text : { "", "{", R"({"a")", R"({"a":)", R"({"a":1)", R"({"a":"x)", R"({"a":[1})",
             R"({"a":1,})", R"({"a":1}})", R"({1:2})", "[]", R"({"a" 1})" })
        EXPECT_THROW(membersOf(text), wire_error) << text;
    for (const std::string text : { "", "[", "[1", "[1,", "[1,]", "[1]]", "{}" })
        EXPECT_THROW(elementsOf(text), wire_error) << text;
}

} // namespace flamingoroute::platform
