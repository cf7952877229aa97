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

/// Follows all objects of one kind: lists them, then watches for changes, and lists again after each failed watch.
/// While a relay forwards changes, it calls the store only for changes that the relay's position shows to be missing.
/// Retries through outages with exponential back-off.
///
/// After a restoration of the store it lists the objects again: those of the era before may be gone, and others may
/// have their revision numbers. Objects that the list lacks are kept for a time, in which their writers write them
/// again.
class object_watcher : public std::enable_shared_from_this<object_watcher> {
public:
    struct handlers {
        /// Called with all objects after the first list.
        std::function<void(const std::vector<fleet_object>&)> onList;
        /// Called for each new change, in order; also for changes found by a later list.
        std::function<void(const object_event&)> onEvent;
        /// Called after each watch that returned changes, and after each later list that found some.
        /// @param after nothing changed between this revision and the first change
        std::function<void(const store_revision& after, const object_events&)> onBatch;
        /// @return whether a relay forwards changes, so that no watch is needed
        std::function<bool()> mayFollow;
        /// @return the position of a relay, if one is reachable
        std::function<std::optional<store_position>()> relayPosition;
        /// Called when a watch timed out without an answer: other open calls to the store may be stuck, too.
        std::function<void()> onWatchTimeout;
        /// @return whether a failed call may be retried; false while another watcher probes the store first
        std::function<bool()> mayRetry;
    };

    /// @param random a number from 0 to 1, to spread the retries of many instances
    object_watcher(boost::asio::io_context& loop, watched_store& store, std::string kind, handlers callbacks,
        std::function<double()> random);

    void start();

    /// After this no handler and no store call is made.
    void stop();

    /// Ignores the answer of an open watch, if there is one, and lists again.
    void abandonWatch();

    /// Lists again if the store has been restored since the last list; a relay's changes show that otherwise.
    /// @param storeEra the latest era that is known of the store
    void checkEra(std::uint64_t storeEra);

    /// While following a relay: checks whether the relay still forwards changes and whether a change was missed.
    void checkRelay();

    /// Applies changes forwarded by a relay. A missed batch is detected by the relay's position, in checkRelay().
    void applyBatch(const store_revision& after, const object_events& batch);

    /// @param maxWait how long the store may wait before it answers a watch without changes
    void setMaxWait(milliseconds maxWait) { m_maxWait = maxWait; }

    /// @param delay between a watch that returned changes and the next one, so that one call returns many changes
    void setWatchDelay(milliseconds delay) { m_watchDelay = delay; }

    /// @param delay from the first sign that a change was missed to the call that asks for it: a relay's position may
    ///        arrive before the change that another relay forwards
    void setCatchUpDelay(milliseconds delay) { m_catchUpDelay = delay; }

    /// @param delay how long objects are kept that a restored store lacks; zero: not at all
    void setRestoreGrace(milliseconds delay) { m_restoreGrace = delay; }

    /// @return up to which revision all changes are known, and a hash of the content
    store_position position() const { return { m_revision, m_index.contentHash() }; }

    /// @return when the store last answered
    monotonic_time lastAnswerAt() const { return m_lastAnswerAt; }

    /// @return whether the last call to the store succeeded
    bool isConnected() const { return m_failures == 0 && m_hasListed; }

    /// @return whether the objects have been listed at least once
    bool hasListed() const { return m_hasListed; }

private:
    void list(const std::string& after);
    void onPage(const tl::expected<object_page, error>& page);
    void watch();
    void onEvents(const tl::expected<object_events, error>& events);
    void onFailure(const error& failure);
    void runAfter(microseconds delay, void (object_watcher::*step)());
    void retry();
    void followOrWatch();
    void relist();
    void adoptList(const std::vector<fleet_object>& objects);
    std::vector<object_event> replaceIndex(const std::vector<fleet_object>& objects, bool isRestored);
    bool isCatchUpDue(const store_revision& relayRevision, monotonic_time now);
    void catchUp();
    void onCatchUpResult(const tl::expected<object_events, error>& events);
    void apply(const std::vector<object_event>& events);
    void notify(const object_event& event);
    void notifyListed(const std::vector<fleet_object>& objects);

    watched_store& m_store;
    std::string m_kind;
    handlers m_callbacks;
    std::function<double()> m_random;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_graceTimer; ///< after it, objects that a restored store still lacks count as deleted
    std::vector<fleet_object> m_pages;
    store_revision m_pagesRevision;
    object_index m_index;
    store_revision m_revision; ///< up to which all changes are known
    store_revision m_changeRevision; ///< after which no change is known
    milliseconds m_maxWait;
    milliseconds m_watchDelay { 0 };
    milliseconds m_catchUpDelay { 0 };
    milliseconds m_restoreGrace { 0 };
    monotonic_time m_lastAnswerAt;
    std::uint64_t m_watchNumber = 0; ///< of the current watch; answers to earlier ones are ignored
    bool m_isListing = false;
    bool m_isWatching = false;
    bool m_isFollowing = false;
    bool m_isCatchingUp = false;
    int m_catchUps = 0; ///< since the content last matched the relay's
    monotonic_time m_nextCatchUp;
    store_revision m_missedRevision; ///< of the relay, when it first showed the change that is missing now
    monotonic_time m_missedSince;
    int m_failures = 0;
    bool m_hasListed = false;
    bool m_isStopped = false;
};

} // namespace flamingoroute

#endif
