#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(json_reader, reports_every_problem_with_its_path)
{
    const auto object = parseJsonObject("{ /* a comment */ \"port\": 70000, \"nane\": \"x\" }", "test");
    ASSERT_TRUE(object) << describe(object.error());
    problem_list problems;
    json_reader reader(*object, "settings", problems);
    reader.requiredInt("port", 1, 65535);
    reader.requiredString("name");
    reader.finish();
    const problem_list expected {
        { "settings.port", "must be between 1 and 65535" },
        { "settings.name", "is missing" },
        { "settings.nane", "is not a known field" },
    };
    EXPECT_EQ(problems, expected);
}

TEST(json_document, ignores_line_and_block_comments_but_not_inside_strings)
{
    const auto object = parseJsonObject("// first\n{ \"a\": \"x//y\", /* b */ \"c\": 1 } // last", "test");
    ASSERT_TRUE(object) << describe(object.error());
    EXPECT_EQ((*object)->getValue<std::string>("a"), "x//y");
    EXPECT_EQ((*object)->getValue<int>("c"), 1);
}

TEST(json_reader, rejects_a_host_name_where_an_ip_address_is_required)
{
    const auto object = parseJsonObject("{ \"at\": \"localhost:80\" }", "test");
    problem_list problems;
    json_reader reader(*object, "settings", problems);
    reader.requiredEndpoint("at");
    ASSERT_EQ(problems.size(), 1u);
    EXPECT_EQ(problems[0].path, "settings.at");
}

} // namespace flamingoroute
