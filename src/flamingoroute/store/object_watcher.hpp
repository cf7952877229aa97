#ifndef FLAMINGOROUTE_STORE_OBJECT_WATCHER_HPP
#define FLAMINGOROUTE_STORE_OBJECT_WATCHER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/object_index.hpp"
#include "flamingoroute/store/store_position.hpp"
#include "flamingoroute/store/watched_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Keeps up with all objects of one kind: lists them, then watches for changes, and lists anew after each failed watch.
/// While a relay passes changes on it makes no calls, but for those that the relay's position shows to be missing.
/// Goes on through outages with growing pauses.
class object_watcher : public std::enable_shared_from_this<object_watcher> {
public:
    struct handlers {
        /// Called with all objects after the first list.
        std::function<void(const std::vector<fleet_object>&)> onList;
        /// Called for each change that is news, in order; also for what a later list shows to have changed.
        std::function<void(const object_event&)> onEvent;
        /// Called after each watch that returned changes, and after each later list that showed some.
        /// @param after nothing changed between this revision and the first change
        std::function<void(std::uint64_t after, const object_events&)> onBatch;
        /// @return whether a relay passes changes on, so that no watch is needed
        std::function<bool()> mayFollow;
        /// @return how far a relay knows the objects, if one is heard
        std::function<std::optional<store_position>()> relayPosition;
        /// Called when a watch got no answer at all: what else waits for the store may wait in vain, too.
        std::function<void()> onWatchTimeout;
        /// @return whether a failed call may be made again, or another watcher tries first whether the store is back
        std::function<bool()> mayRetry;
    };

    /// @param random a number from 0 to 1, to spread the retries of many instances
    object_watcher(boost::asio::io_context& loop, watched_store& store, std::string kind, handlers handle,
        std::function<double()> random);

    void start();

    /// Calls nothing any more.
    void stop();

    /// Lists anew instead of waiting for the answer of an open watch.
    void abandonWatch();

    /// Looks whether to begin or to stop following the relay, and whether a change was missed.
    void review();

    /// Takes changes that a relay passed on. A missed batch shows by the relay's position.
    void applyBatch(std::uint64_t after, const object_events& batch);

    /// @param patience how long the store may wait before it answers a watch without a change
    void setMaxWait(milliseconds patience) { m_patience = patience; }

    /// @param gap between a watch that returned changes and the next one, so that one call brings many changes
    void setGap(milliseconds gap) { m_gap = gap; }

    /// @return how far the objects are known
    store_position position() const { return { m_revision, m_index.contentHash() }; }

    /// @return when the store last answered
    monotonic_time lastAnswerAt() const { return m_lastAnswerAt; }

    /// @return whether the last call to the store succeeded
    bool isConnected() const { return m_failures == 0 && m_hasListed; }

    /// @return whether the objects were listed at least once
    bool hasListed() const { return m_hasListed; }

private:
    void list(const std::string& after);
    void onPage(const tl::expected<object_page, error>& page);
    void watch();
    void onEvents(const tl::expected<object_events, error>& events);
    void onFailure(const error& failure);
    void runAfter(microseconds pause, void (object_watcher::*step)());
    void retry();
    void goOn();
    void catchUp();
    void onCaughtUp(const tl::expected<object_events, error>& events);
    void apply(const std::vector<object_event>& events);

    watched_store& m_store;
    std::string m_kind;
    handlers m_handle;
    std::function<double()> m_random;
    boost::asio::steady_timer m_timer;
    std::vector<fleet_object> m_pages;
    std::uint64_t m_pagesRevision = 0;
    object_index m_index;
    std::uint64_t m_revision = 0; ///< up to which all changes are known
    std::uint64_t m_changeRevision = 0; ///< no change since then is known
    milliseconds m_patience;
    milliseconds m_gap { 0 };
    monotonic_time m_lastAnswerAt;
    std::uint64_t m_watchNumber = 0; ///< answers of earlier watches are not waited for any more
    bool m_isWatching = false;
    bool m_isFollowing = false;
    bool m_isCatchingUp = false;
    int m_catchUps = 0; ///< since this watcher last knew what the relay knows
    monotonic_time m_nextCatchUp;
    int m_failures = 0;
    bool m_hasListed = false;
    bool m_isStopped = false;
};

} // namespace flamingoroute

#endif
