#include "platform/wire_values.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::platform {

TEST(wire_values, read_durations_with_their_units)
{
    EXPECT_EQ(parseDuration("1500ms"), milliseconds(1500));
    EXPECT_EQ(parseDuration("2.5s"), milliseconds(2500));
    EXPECT_EQ(parseDuration("0ms"), milliseconds(0));
    for (const std::string wrong : { "", "5", "ms", "-1s", "1 s", "1m", "1e99s", "nans", "s1" })
        EXPECT_FALSE(parseDuration(wrong)) << wrong;
    EXPECT_EQ(parseDuration(formatDuration(milliseconds(1234))), milliseconds(1234));
}

TEST(wire_values, read_versions_as_numbers)
{
    EXPECT_EQ(parseVersion("r12"), 12U);
    for (const std::string wrong : { "", "r", "12", "r1x", "rr1", "r-1" })
        EXPECT_FALSE(parseVersion(wrong)) << wrong;
}

} // namespace flamingoroute::platform
