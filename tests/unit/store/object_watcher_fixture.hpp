#ifndef FLAMINGOROUTE_TESTS_UNIT_STORE_OBJECT_WATCHER_FIXTURE_HPP
#define FLAMINGOROUTE_TESTS_UNIT_STORE_OBJECT_WATCHER_FIXTURE_HPP

#include "flamingoroute/store/object_watcher.hpp"

#include <boost/asio/io_context.hpp>
#include <gmock/gmock.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute::testing {

class mock_watched_store : public watched_store {
public:
    MOCK_METHOD(void, list, (const std::string&, const std::string&, page_callback), (override));
    MOCK_METHOD(std::uint64_t, era, (), (const, override));
    MOCK_METHOD(void, watch, (const std::string&, const store_revision&, milliseconds, events_callback), (override));
    MOCK_METHOD(void, put, (const std::string&, const std::string&, const std::string&, write_callback), (override));
    MOCK_METHOD(void, putStatus,
        (const std::string&, const std::string&, const std::string&, const store_revision&, write_callback),
        (override));
    MOCK_METHOD(void, read, (const std::string&, const std::string&, bool, object_callback), (override));
    MOCK_METHOD(void, create, (const std::string&, const std::string&, const std::string&, write_callback), (override));
    MOCK_METHOD(void, replace,
        (const std::string&, const std::string&, const std::string&, const store_revision&, write_callback),
        (override));
    MOCK_METHOD(void, remove, (const std::string&, const std::string&, write_callback), (override));
};

inline fleet_object objectNamed(const std::string& name, const store_revision& revision = 1)
{
    fleet_object object;
    object.name = name;
    object.revision = revision;
    return object;
}

/// @return the position of a relay that has @p objects
inline store_position positionAt(const store_revision& revision, const std::vector<fleet_object>& objects)
{
    object_index index;
    index.replace(objects);
    return { revision, index.contentHash() };
}

/// Handlers throw on an object of this name.
inline const std::string unusableName = "unusable";

/// A watcher with a mock store; the test invokes the store's callbacks.
class watcher_fixture {
public:
    watcher_fixture()
    {
        ON_CALL(store, list(::testing::_, ::testing::_, ::testing::_))
            .WillByDefault([this](const auto&, const auto& after, auto done) {
                listedAfter.push_back(after);
                onPage = std::move(done);
            });
        ON_CALL(store, watch(::testing::_, ::testing::_, ::testing::_, ::testing::_))
            .WillByDefault([this](const auto&, auto after, milliseconds, auto done) {
                watchedAfter.push_back(after);
                onEvents = std::move(done);
            });
        object_watcher::handlers callbacks;
        callbacks.onList = [this](const auto& objects) {
            ++lists;
            names.clear();
            for (const auto& object : objects)
                names.push_back(object.name);
        };
        callbacks.onEvent = [this](const object_event& event) {
            if (event.object.name == unusableName)
                throw std::out_of_range("unusable");
            if (event.isDeleted)
                std::erase(names, event.object.name);
            else
                names.push_back(event.object.name);
        };
        callbacks.onBatch = [this](const store_revision& after, const object_events& batch) {
            batchesAfter.push_back(after);
            lastBatch = batch;
        };
        callbacks.mayFollow = [this] { return isRelayReachable; };
        callbacks.relayPosition = [this] { return relayPosition; };
        callbacks.mayRetry = [this] { return mayRetry; };
        callbacks.onWatchTimeout = [this] { ++watchTimeouts; };
        watcher = std::make_shared<object_watcher>(loop, store, "servers", callbacks, [] { return 0.0; });
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
    std::vector<store_revision> watchedAfter;
    std::vector<std::string> names;
    std::vector<store_revision> batchesAfter;
    bool isRelayReachable = false;
    bool mayRetry = true;
    std::optional<store_position> relayPosition;
    object_events lastBatch;
    int lists = 0;
    int watchTimeouts = 0;
};

inline tl::expected<object_events, error> failed(error_code code)
{
    return tl::unexpected(error { code, "watch", "store", "" });
}

inline tl::expected<object_page, error> failedPage()
{
    return tl::unexpected(error { error_code::unavailable, "list", "store", "" });
}

} // namespace flamingoroute::testing

#endif
