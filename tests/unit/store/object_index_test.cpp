#include "flamingoroute/store/object_index.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

fleet_object objectAt(const std::string& name, std::uint64_t revision)
{
    fleet_object object;
    object.name = name;
    object.revision = revision;
    return object;
}

} // namespace

TEST(object_index, reports_each_change_once)
{
    object_index index;
    EXPECT_TRUE(index.apply({ false, objectAt("a", 5) }));
    EXPECT_FALSE(index.apply({ false, objectAt("a", 5) }));
    EXPECT_FALSE(index.apply({ false, objectAt("a", 4) }));
    EXPECT_TRUE(index.apply({ false, objectAt("a", 6) }));
    EXPECT_TRUE(index.apply({ true, objectAt("a", 6) }));
    EXPECT_FALSE(index.apply({ true, objectAt("a", 6) }));
}

TEST(object_index, ignores_the_deletion_of_an_object_that_was_created_again)
{
    object_index index;
    index.apply({ false, objectAt("a", 9) });
    EXPECT_FALSE(index.apply({ true, objectAt("a", 7) }));
    EXPECT_FALSE(index.apply({ false, objectAt("a", 9) }));
}

TEST(object_index, has_the_same_hash_whatever_way_the_objects_came)
{
    object_index listed;
    listed.replace({ objectAt("a", 3), objectAt("b", 8) });
    object_index watched;
    watched.apply({ false, objectAt("b", 2) });
    watched.apply({ false, objectAt("c", 4) });
    watched.apply({ false, objectAt("a", 3) });
    EXPECT_NE(watched.contentHash(), listed.contentHash());
    watched.apply({ true, objectAt("c", 4) });
    watched.apply({ false, objectAt("b", 8) });
    EXPECT_EQ(watched.contentHash(), listed.contentHash());
}

TEST(object_index, returns_the_changes_made_by_a_list)
{
    object_index index;
    index.replace({ objectAt("a", 3), objectAt("b", 4) });
    const auto changes = index.replace({ objectAt("b", 5), objectAt("c", 6) });
    ASSERT_EQ(changes.size(), 3U);
    EXPECT_EQ(changes[0].object, objectAt("b", 5));
    EXPECT_EQ(changes[1].object, objectAt("c", 6));
    EXPECT_EQ(changes[2], (object_event { true, objectAt("a", 3) }));
    EXPECT_TRUE(index.replace({ objectAt("b", 5), objectAt("c", 6) }).empty());
}

} // namespace flamingoroute::testing
