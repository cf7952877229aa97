#include "flamingoroute/store/object_watcher.hpp"

#include <boost/asio/io_context.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

using ::testing::_;
using ::testing::DoAll;
using ::testing::InSequence;
using ::testing::Return;
using ::testing::SaveArg;

class mock_watched_store : public watched_store {
public:
    MOCK_METHOD(void, list, (const std::string&, const std::string&, page_callback), (override));
    MOCK_METHOD(void, watch, (const std::string&, std::uint64_t, milliseconds, events_callback), (override));
    MOCK_METHOD(void, put, (const std::string&, const std::string&, const std::string&, write_callback), (override));
    MOCK_METHOD(void, putStatus,
        (const std::string&, const std::string&, const std::string&, std::uint64_t, write_callback), (override));
    MOCK_METHOD(void, remove, (const std::string&, const std::string&, write_callback), (override));
};

fleet_object objectNamed(const std::string& name)
{
    fleet_object object;
    object.name = name;
    return object;
}

/// A watcher whose store's answers a test gives by hand.
class watching_fixture {
public:
    watching_fixture()
    {
        ON_CALL(store, list(_, _, _)).WillByDefault([this](const auto&, const auto& after, auto done) {
            listedAfter.push_back(after);
            onPage = std::move(done);
        });
        ON_CALL(store, watch(_, _, _, _)).WillByDefault([this](const auto&, auto after, milliseconds, auto done) {
            watchedAfter.push_back(after);
            onEvents = std::move(done);
        });
        object_watcher::handlers handle;
        handle.onList = [this](const auto& objects) {
            ++lists;
            names.clear();
            for (const auto& object : objects)
                names.push_back(object.name);
        };
        handle.onEvent = [this](const object_event& event) { names.push_back(event.object.name); };
        handle.onBatch = [this](std::uint64_t after, const object_events&) { batchesAfter.push_back(after); };
        handle.mayFollow = [this] { return isRelayThere; };
        handle.relayRevision = [this] { return relayRevision; };
        watcher = std::make_shared<object_watcher>(loop, store, "servers", handle, [] { return 0.0; });
        watcher->start();
    }

    void runRetry()
    {
        loop.restart();
        loop.run_for(milliseconds(200));
    }

    boost::asio::io_context loop;
    ::testing::NiceMock<mock_watched_store> store;
    std::shared_ptr<object_watcher> watcher;
    watched_store::page_callback onPage;
    watched_store::events_callback onEvents;
    std::vector<std::string> listedAfter;
    std::vector<std::uint64_t> watchedAfter;
    std::vector<std::string> names;
    std::vector<std::uint64_t> batchesAfter;
    bool isRelayThere = false;
    std::uint64_t relayRevision = 0;
    int lists = 0;
};

tl::expected<object_events, error> failed(error_code code)
{
    return tl::unexpected(error { code, "watch", "store", "" });
}

} // namespace

TEST(object_watcher, lists_all_pages_and_watches_from_the_revision_of_the_first)
{
    watching_fixture fixture;
    fixture.onPage(object_page { { objectNamed("a"), objectNamed("b") }, true, 10 });
    EXPECT_EQ(fixture.lists, 0);
    fixture.onPage(object_page { { objectNamed("c") }, false, 14 });
    EXPECT_EQ(fixture.lists, 1);
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "b", "c" }));
    EXPECT_EQ(fixture.listedAfter, (std::vector<std::string> { "", "b" }));
    EXPECT_EQ(fixture.watchedAfter, (std::vector<std::uint64_t> { 10 }));
}

TEST(object_watcher, goes_on_from_where_the_events_ended)
{
    watching_fixture fixture;
    fixture.onPage(object_page { {}, false, 10 });
    fixture.onEvents(object_events { { { false, objectNamed("a") } }, 12 });
    fixture.onEvents(object_events { {}, 12 });
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a" }));
    EXPECT_EQ(fixture.watchedAfter, (std::vector<std::uint64_t> { 10, 12, 12 }));
}

TEST(object_watcher, lists_anew_after_any_failed_watch)
{
    for (const auto code : { error_code::expired, error_code::unavailable, error_code::timeout }) {
        watching_fixture fixture;
        fixture.onPage(object_page { { objectNamed("a") }, false, 10 });
        fixture.onEvents(failed(code));
        EXPECT_FALSE(fixture.watcher->isConnected());
        fixture.runRetry();
        ASSERT_EQ(fixture.listedAfter.size(), 2U);
        fixture.onPage(object_page { {}, false, 20 });
        EXPECT_TRUE(fixture.names.empty());
        EXPECT_EQ(fixture.watchedAfter.back(), 20U);
        EXPECT_TRUE(fixture.watcher->isConnected());
    }
}

TEST(object_watcher, names_for_each_batch_the_revision_that_it_follows_on)
{
    watching_fixture fixture;
    fixture.onPage(object_page { {}, false, 10 });
    fixture.onEvents(object_events { {}, 15 });
    fixture.onEvents(object_events { { { false, objectNamed("a") } }, 20 });
    fixture.onEvents(object_events { { { false, objectNamed("b") } }, 25 });
    EXPECT_EQ(fixture.batchesAfter, (std::vector<std::uint64_t> { 10, 20 }));
}

TEST(object_watcher, follows_a_relay_without_calls_of_its_own)
{
    watching_fixture fixture;
    fixture.isRelayThere = true;
    fixture.onPage(object_page { { objectNamed("a") }, false, 20 });
    fixture.relayRevision = 20;
    fixture.watcher->review();
    fixture.watcher->takeBatch(10, object_events { { { false, objectNamed("b") } }, 25 });
    fixture.relayRevision = 25;
    fixture.watcher->review();
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "a", "b" }));
    EXPECT_TRUE(fixture.watchedAfter.empty());
    EXPECT_EQ(fixture.listedAfter.size(), 1U);
}

TEST(object_watcher, takes_a_batch_once_that_two_relays_pass_on)
{
    watching_fixture fixture;
    fixture.isRelayThere = true;
    fixture.onPage(object_page { {}, false, 20 });
    const object_events batch { { { false, objectNamed("b") } }, 25 };
    fixture.watcher->takeBatch(20, batch);
    fixture.watcher->takeBatch(20, batch);
    EXPECT_EQ(fixture.names, (std::vector<std::string> { "b" }));
}

TEST(object_watcher, lists_anew_after_a_batch_that_it_missed)
{
    watching_fixture byGap;
    byGap.isRelayThere = true;
    byGap.onPage(object_page { {}, false, 20 });
    byGap.watcher->takeBatch(25, object_events { { { false, objectNamed("c") } }, 30 });
    EXPECT_EQ(byGap.listedAfter.size(), 2U);
    EXPECT_EQ(byGap.names, (std::vector<std::string> { "c" }));

    watching_fixture byRevision;
    byRevision.isRelayThere = true;
    byRevision.onPage(object_page { {}, false, 20 });
    byRevision.relayRevision = 25;
    byRevision.watcher->review();
    EXPECT_EQ(byRevision.listedAfter.size(), 2U);
}

TEST(object_watcher, reads_for_itself_when_no_relay_is_heard_any_more)
{
    watching_fixture fixture;
    fixture.isRelayThere = true;
    fixture.onPage(object_page { {}, false, 20 });
    fixture.isRelayThere = false;
    fixture.watcher->review();
    ASSERT_EQ(fixture.listedAfter.size(), 2U);
    fixture.onPage(object_page { {}, false, 40 });
    EXPECT_EQ(fixture.watchedAfter, (std::vector<std::uint64_t> { 40 }));
}

TEST(object_watcher, says_nothing_after_it_was_stopped)
{
    watching_fixture fixture;
    fixture.watcher->stop();
    fixture.onPage(object_page { { objectNamed("a") }, false, 10 });
    EXPECT_EQ(fixture.lists, 0);
}

} // namespace flamingoroute
