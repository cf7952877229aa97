#include "object_watcher_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace flamingoroute::testing {

TEST(object_watcher, lists_all_pages_and_watches_from_the_revision_of_the_first)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a"), objectNamed("b") }, true, 10 });
    EXPECT_EQ(fixture.lists, 0);
    fixture.onPage(object_page { { objectNamed("c") }, false, 14 });
    EXPECT_EQ(fixture.lists, 1);
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "b", "c" }));
    EXPECT_EQ(fixture.listedAfter, (std::vector<std::string> { "", "b" }));
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 10 }));
}

TEST(object_watcher, continues_from_the_revision_of_the_last_events)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { {}, false, 10 });
    fixture.onEvents(object_events { { { false, objectNamed("a") } }, 12 });
    fixture.onEvents(object_events { {}, 12 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a" }));
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 10, 12, 12 }));
}

TEST(object_watcher, goes_on_with_the_other_objects_after_one_whose_handler_throws)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { {}, false, 10 });
    fixture.onEvents(object_events { { { false, objectNamed(unusableName) }, { false, objectNamed("a") } }, 12 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a" }));
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 10, 12 }));
}

TEST(object_watcher, lists_anew_after_any_failed_watch)
{
    for (const auto code : { error_code::expired, error_code::unavailable, error_code::timeout }) {
        watcher_fixture fixture;
        fixture.onPage(object_page { { objectNamed("a") }, false, 10 });
        fixture.onEvents(failed(code));
        EXPECT_FALSE(fixture.watcher->isConnected());
        fixture.runRetry();
        ASSERT_EQ(fixture.listedAfter.size(), 2U);
        fixture.onPage(object_page { {}, false, 20 });
        EXPECT_TRUE(fixture.names.empty());
        EXPECT_EQ(fixture.watchedAfter.back(), store_revision(20));
        EXPECT_TRUE(fixture.watcher->isConnected());
    }
}

TEST(object_watcher, reports_for_each_batch_the_revision_that_it_follows)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { {}, false, 10 });
    fixture.onEvents(object_events { {}, 15 });
    fixture.onEvents(object_events { { { false, objectNamed("a") } }, 20 });
    fixture.onEvents(object_events { { { false, objectNamed("b") } }, 25 });
    EXPECT_EQ(fixture.batchesAfter, (std::vector<store_revision> { 10, 20 }));
}

TEST(object_watcher, follows_a_relay_without_watching_the_store)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { { objectNamed("a") }, false, 20 });
    fixture.relayPosition = positionAt(20, { objectNamed("a") });
    fixture.watcher->checkRelay();
    fixture.watcher->applyBatch(10, object_events { { { false, objectNamed("b") } }, 25 });
    fixture.relayPosition = positionAt(25, { objectNamed("a"), objectNamed("b") });
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "b" }));
    EXPECT_TRUE(fixture.watchedAfter.empty());
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
}

TEST(object_watcher, applies_a_batch_from_two_relays_once)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { {}, false, 20 });
    const object_events batch { { { false, objectNamed("b") } }, 25 };
    fixture.watcher->applyBatch(20, batch);
    fixture.watcher->applyBatch(20, batch);
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "b" }));
}

TEST(object_watcher, asks_only_for_the_changes_that_it_missed)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { { objectNamed("a") }, false, 20 });
    fixture.watcher->applyBatch(25, object_events { { { false, objectNamed("c", 30) } }, 30 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "c" }));
    fixture.relayPosition = positionAt(30, { objectNamed("a"), objectNamed("b", 23), objectNamed("c", 30) });
    fixture.watcher->checkRelay();
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 20 }));
    fixture.onEvents(object_events { { { false, objectNamed("b", 23) }, { false, objectNamed("c", 30) } }, 31 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "c", "b" }));
    fixture.relayPosition->revision = 40;
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
    EXPECT_EQ(fixture.watchedAfter.size(), 1U);
}

TEST(object_watcher, asks_for_no_change_that_arrives_shortly_after_a_relays_position)
{
    watcher_fixture fixture;
    fixture.watcher->setCatchUpDelay(milliseconds(60));
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { {}, false, 20 });
    for (std::uint64_t revision = 21; revision < 31; ++revision) {
        const auto name = "upstream-" + std::to_string(revision);
        fixture.relayPosition = store_position { revision, revision };
        fixture.watcher->checkRelay();
        std::this_thread::sleep_for(milliseconds(10));
        fixture.watcher->checkRelay();
        fixture.watcher->applyBatch(
            revision - 1, object_events { { { false, objectNamed(name, revision) } }, revision });
    }
    EXPECT_TRUE(fixture.watchedAfter.empty());
    fixture.relayPosition = store_position { 40, 40 };
    fixture.watcher->checkRelay();
    EXPECT_TRUE(fixture.watchedAfter.empty());
    std::this_thread::sleep_for(milliseconds(70));
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 30 }));
}

TEST(object_watcher, makes_no_call_when_a_relay_has_read_further_but_knows_the_same_objects)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { { objectNamed("a") }, false, 20 });
    fixture.relayPosition = positionAt(90, { objectNamed("a") });
    fixture.watcher->checkRelay();
    EXPECT_EQ(fixture.watcher->position().revision, store_revision(90));
    EXPECT_TRUE(fixture.watchedAfter.empty());
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
}

TEST(object_watcher, lists_anew_when_asking_for_missed_changes_does_not_help)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { { objectNamed("a") }, false, 20 });
    for (std::uint64_t revision = 30; revision < 33; ++revision) {
        fixture.relayPosition = positionAt(revision, { objectNamed("b") });
        fixture.watcher->checkRelay();
        if (fixture.watchedAfter.size() < 3 && fixture.listedAfter.size() == 1)
            fixture.onEvents(object_events { {}, revision });
        std::this_thread::sleep_for(milliseconds(410));
    }
    EXPECT_EQ(fixture.watchedAfter.size(), 2U);
    EXPECT_EQ(fixture.listedAfter.size(), 2U);
}

TEST(object_watcher, reports_changes_found_by_a_later_list)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a"), objectNamed("b"), objectNamed("c") }, false, 10 });
    fixture.onEvents(failed(error_code::expired));
    fixture.runRetry();
    fixture.onPage(object_page { { objectNamed("a"), objectNamed("b", 15), objectNamed("d", 17) }, false, 20 });
    EXPECT_EQ(fixture.lists, 1);
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "b", "b", "d" }));
    ASSERT_EQ(fixture.batchesAfter, (std::vector<store_revision> { 10 }));
    EXPECT_EQ(fixture.lastBatch.events.size(), 3U);
    EXPECT_EQ(fixture.lastBatch.revision, store_revision(20));
}

TEST(object_watcher, follows_the_relay_after_a_failed_call)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a") }, false, 20 });
    fixture.onEvents(failed(error_code::unavailable));
    fixture.isRelayReachable = true;
    fixture.runRetry();
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
    EXPECT_TRUE(fixture.watcher->isConnected());
}

TEST(object_watcher, does_not_retry_before_it_may)
{
    watcher_fixture fixture;
    fixture.mayRetry = false;
    fixture.onPage(failedPage());
    fixture.runRetry();
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
    fixture.mayRetry = true;
    fixture.runRetry();
    EXPECT_EQ(fixture.listedAfter.size(), 2U);
}

TEST(object_watcher, lists_and_watches_when_no_relay_is_reachable)
{
    watcher_fixture fixture;
    fixture.isRelayReachable = true;
    fixture.onPage(object_page { {}, false, 20 });
    fixture.isRelayReachable = false;
    fixture.watcher->checkRelay();
    ASSERT_EQ(fixture.listedAfter.size(), 2U);
    fixture.onPage(object_page { {}, false, 40 });
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 40 }));
}

TEST(object_watcher, waits_for_the_gap_before_the_next_watch)
{
    watcher_fixture fixture;
    fixture.watcher->setWatchDelay(milliseconds(100));
    fixture.onPage(object_page { {}, false, 10 });
    fixture.onEvents(object_events { { { false, objectNamed("a") } }, 12 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a" }));
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 10 }));
    fixture.runRetry();
    EXPECT_EQ(fixture.watchedAfter, (std::vector<store_revision> { 10, 12 }));
    fixture.onEvents(object_events { {}, 20 });
    EXPECT_EQ(fixture.watchedAfter.back(), store_revision(20));
}

TEST(object_watcher, tells_of_silence_and_lists_anew_instead_of_waiting_for_a_watch_that_is_distrusted)
{
    watcher_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a") }, false, 10 });
    fixture.onEvents(failed(error_code::unavailable));
    EXPECT_EQ(fixture.watchTimeouts, 0);
    fixture.runRetry();
    fixture.onPage(object_page { { objectNamed("a") }, false, 11 });
    fixture.onEvents(failed(error_code::timeout));
    EXPECT_EQ(fixture.watchTimeouts, 1);
    fixture.runRetry();
    fixture.onPage(object_page { { objectNamed("a") }, false, 12 });
    const auto lateAnswer = fixture.onEvents;
    fixture.watcher->abandonWatch();
    EXPECT_EQ(fixture.listedAfter.size(), 4U);
    lateAnswer(object_events { { { false, objectNamed("late", 13) } }, 13 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a" }));
    fixture.onPage(object_page { { objectNamed("a"), objectNamed("late", 13) }, false, 14 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "late" }));
}

TEST(object_watcher, calls_no_handler_after_it_was_stopped)
{
    watcher_fixture fixture;
    fixture.watcher->stop();
    fixture.onPage(object_page { { objectNamed("a") }, false, 10 });
    EXPECT_EQ(fixture.lists, 0);
}

} // namespace flamingoroute::testing
