#include "flamingoroute/proxy/byte_budget.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(byte_budget, gives_no_more_than_its_limit_until_bytes_are_returned)
{
    byte_budget budget(100);
    EXPECT_TRUE(budget.take(60));
    EXPECT_FALSE(budget.take(41));
    EXPECT_TRUE(budget.take(40));
    budget.release(60);
    EXPECT_EQ(budget.used(), 40U);
    EXPECT_TRUE(budget.take(60));
    budget.release(1000);
    EXPECT_EQ(budget.used(), 0U);
}

} // namespace flamingoroute
