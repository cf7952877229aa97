#include "object_watcher_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace flamingoroute::testing {

// CONFIG: instances that follow relays ignored the changes of a restored store until its revisions had caught up.
TEST(object_watcher, applies_a_relays_changes_of_a_restored_store_although_their_revisions_are_lower)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { { objectNamed("a", { 5, 1 }) }, false, { 20, 1 } });
    const auto changed = objectNamed("a", { 12, 2 });
    fixture.relayPosition = positionAt({ 12, 2 }, { changed });
    fixture.watcher->checkRelay();
    fixture.watcher->applyBatch({ 20, 1 }, object_events { { { false, changed } }, { 12, 2 } });
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "a" }));
    EXPECT_EQ(fixture.watcher->position(), *fixture.relayPosition);
    fixture.watcher->applyBatch({ 20, 1 }, object_events { { { false, objectNamed("late", { 25, 1 }) } }, { 25, 1 } });
    EXPECT_EQ(fixture.names.size(), 2U);
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
}

TEST(object_watcher, lists_what_a_restored_store_has_if_no_relay_forwards_it)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { { objectNamed("a", { 5, 1 }) }, false, { 20, 1 } });
    fixture.relayPosition = positionAt({ 12, 2 }, { objectNamed("a", { 12, 2 }) });
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
    std::this_thread::sleep_for(milliseconds(1010));
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.listedAfter.size(), 2U);
    EXPECT_TRUE(fixture.watchedAfter.empty());
}

// CONFIG: an object with the name and the revision of one from before the restoration was taken for that one.
TEST(object_watcher, reports_an_object_that_has_the_revision_of_another_before_the_restoration)
{
    watcher_fixture fixture;
    auto object = objectNamed("a", { 15, 1 });
    object.contentHash = 1;
    fixture.onPage(object_page { { object, objectNamed("same", { 4, 1 }) }, false, { 20, 1 } });
    fixture.onEvents(failed(error_code::expired));
    fixture.runRetry();
    object.revision = { 15, 2 };
    object.contentHash = 2;
    fixture.onPage(object_page { { object, objectNamed("same", { 4, 2 }) }, false, { 15, 2 } });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "same", "a" }));
    EXPECT_EQ(fixture.watchedAfter.back(), store_revision(15, 2));
}

// CONFIG: a watch from a revision that the restored store had reached again was continued.
TEST(object_watcher, lists_anew_when_a_watch_is_answered_in_a_later_era)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a", { 15, 1 }) }, false, { 20, 1 } });
    fixture.onEvents(object_events { { { false, objectNamed("b", { 22, 2 }) } }, { 22, 2 } });
    EXPECT_EQ(fixture.listedAfter.size(), 2U);
    fixture.onPage(object_page { { objectNamed("a", { 18, 2 }) }, false, { 22, 2 } });
    fixture.watcher->checkEra(2);
    EXPECT_EQ(fixture.listedAfter.size(), 2U);
    fixture.watcher->checkEra(3);
    EXPECT_EQ(fixture.listedAfter.size(), 3U);
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "a" }));
}

TEST(object_watcher, keeps_what_a_restored_store_lacks_until_its_writer_had_time_to_write_it_again)
{
    watcher_fixture fixture;
    fixture.watcher->setRestoreGrace(milliseconds(100));
    fixture.onPage(
        object_page { { objectNamed("again", { 15, 1 }), objectNamed("gone", { 16, 1 }) }, false, { 20, 1 } });
    fixture.watcher->checkEra(2);
    fixture.onPage(object_page { {}, false, { 12, 2 } });
    fixture.onEvents(object_events { { { false, objectNamed("again", { 13, 2 }) } }, { 13, 2 } });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "again", "gone", "again" }));
    fixture.runRetry();
    fixture.onPage(object_page { { objectNamed("again", { 13, 2 }) }, false, { 14, 2 } });
    EXPECT_EQ(std::count(fixture.names.begin(), fixture.names.end(), "gone"), 0);
    EXPECT_EQ(std::count(fixture.names.begin(), fixture.names.end(), "again"), 2);
}

TEST(object_watcher, begins_a_list_again_whose_pages_are_of_two_eras)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a", { 15, 1 }) }, true, { 20, 1 } });
    fixture.onPage(object_page { { objectNamed("b", { 11, 2 }) }, false, { 12, 2 } });
    EXPECT_EQ(fixture.listedAfter, (std::vector<std::string> { "", "a", "" }));
    EXPECT_EQ(fixture.lists, 0);
}

} // namespace flamingoroute::testing
