#include "flamingoroute/serving/upstream_answer.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

std::optional<reported_load> loadIn(const std::string& value)
{
    header_names names;
    names.load = "X-Load";
    caller_answer answer;
    answer.headers.push_back({ "X-Load", value });
    return parseLoad(answer, names);
}

} // namespace

TEST(upstream_answer, reads_a_load_with_and_without_the_work_time)
{
    EXPECT_EQ(loadIn("3,1,6"), (reported_load { 3, 1, 6, std::nullopt }));
    EXPECT_EQ(loadIn("3, 1, 6, 250"), (reported_load { 3, 1, 6, 250 }));
    EXPECT_EQ(loadIn("3,1,6,87.5"), (reported_load { 3, 1, 6, 87.5 }));
}

TEST(upstream_answer, keeps_the_counts_of_a_load_whose_work_time_is_malformed)
{
    for (const std::string value : { "", "slow", "-5", "nan", "inf", "1e999", "100%" })
        EXPECT_EQ(loadIn("3,1,6," + value), (reported_load { 3, 1, 6, std::nullopt })) << value;
}

TEST(upstream_answer, takes_no_load_from_malformed_counts)
{
    for (const std::string value : { "", "3", "3,1", "3,1,", "a,1,6", "3,-1,6", "3,1,6.5", "3,1,99999999999", ",,," })
        EXPECT_EQ(loadIn(value), std::nullopt) << value;
}

} // namespace flamingoroute
