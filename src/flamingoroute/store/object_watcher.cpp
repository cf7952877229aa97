#include "flamingoroute/store/object_watcher.hpp"

#include "flamingoroute/report/event_log.hpp"

#include <algorithm>
#include <exception>

namespace flamingoroute {

namespace {

constexpr milliseconds initialBackoff { 100 };
constexpr milliseconds maxBackoff { 1000 };
constexpr int maxBackoffDoublings = 4;
/// Most of the period for which a store keeps its history.
constexpr milliseconds defaultMaxWait { 15000 };
/// Missed changes exist in the store already, so it need not wait for new ones.
constexpr milliseconds catchUpMaxWait { 20 };
/// After this many catch-ups without success, the objects are listed again.
constexpr int maxCatchUps = 2;
constexpr microseconds catchUpInterval { 400'000 };
constexpr microseconds relistInterval { 3'000'000 };
/// Added to the catch-up delay after a restoration: the relays must notice it first, and a list costs more than a
/// catch-up.
constexpr microseconds restoredCatchUpDelay { 1'000'000 };
/// Poll interval of mayRetry() while another watcher probes the store.
constexpr microseconds retryTurnInterval { 100'000 };

} // namespace

object_watcher::object_watcher(boost::asio::io_context& loop, watched_store& store, std::string kind,
    handlers callbacks, std::function<double()> random)
    : m_store(store)
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_random(std::move(random))
    , m_timer(loop)
    , m_graceTimer(loop)
    , m_maxWait(defaultMaxWait)
{
}

void object_watcher::start() { list(std::string()); }

void object_watcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    m_graceTimer.cancel();
}

void object_watcher::list(const std::string& after)
{
    m_isFollowing = false;
    m_isListing = true;
    if (after.empty())
        m_pages.clear();
    m_store.list(m_kind, after, [self = shared_from_this()](const auto& page) { self->onPage(page); });
}

void object_watcher::onPage(const tl::expected<object_page, error>& page)
{
    if (m_isStopped)
        return;
    m_isListing = false;
    if (!page) {
        onFailure(page.error());
        return;
    }
    if (m_pages.empty())
        m_pagesRevision = page->revision;
    if (page->revision.era != m_pagesRevision.era) {
        list(std::string());
        return;
    }
    m_pages.insert(m_pages.end(), page->objects.begin(), page->objects.end());
    if (page->hasMore && !page->objects.empty()) {
        list(page->objects.back().name);
        return;
    }
    adoptList(std::exchange(m_pages, {}));
    followOrWatch();
}

void object_watcher::adoptList(const std::vector<fleet_object>& objects)
{
    const bool isRestored = m_hasListed && m_pagesRevision.era > m_revision.era;
    if (m_failures > 0 || !m_hasListed || isRestored)
        event_line(log_level::info, "store.listed")
            .with("kind", m_kind)
            .with("revision", toString(m_pagesRevision))
            .with("before", toString(m_revision));
    m_failures = 0;
    m_lastAnswerAt = monotonicNow();
    const auto after = m_changeRevision;
    m_revision = m_pagesRevision;
    m_changeRevision = m_pagesRevision;
    const auto changes = replaceIndex(objects, isRestored);
    if (!m_hasListed) {
        m_hasListed = true;
        notifyListed(objects);
    } else if (!changes.empty()) {
        for (const auto& change : changes)
            notify(change);
        if (m_callbacks.onBatch)
            m_callbacks.onBatch(after, object_events { changes, m_revision });
    }
}

std::vector<object_event> object_watcher::replaceIndex(const std::vector<fleet_object>& objects, bool isRestored)
{
    if (!isRestored || m_restoreGrace == milliseconds(0) || !m_index.hasOthersThan(objects))
        return m_index.replace(objects);
    m_graceTimer.expires_after(m_restoreGrace);
    m_graceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_isStopped)
            self->relist();
    });
    return m_index.replace(objects, object_index::missing_objects::keep);
}

void object_watcher::relist()
{
    if (m_isListing)
        return;
    ++m_watchNumber;
    m_isWatching = false;
    m_timer.cancel();
    list(std::string());
}

void object_watcher::followOrWatch()
{
    m_isFollowing = m_callbacks.mayFollow && m_callbacks.mayFollow();
    if (!m_isFollowing)
        watch();
}

void object_watcher::checkRelay()
{
    if (!m_isFollowing || m_isStopped || m_isCatchingUp)
        return;
    if (!m_callbacks.mayFollow()) {
        list(std::string());
        return;
    }
    const auto position = m_callbacks.relayPosition ? m_callbacks.relayPosition() : std::nullopt;
    if (!position || position->revision <= m_revision)
        return;
    const bool isRestored = position->revision.era > m_revision.era;
    if (position->contentHash == m_index.contentHash()) {
        m_revision = position->revision;
        m_changeRevision = position->revision;
        m_catchUps = 0;
        return;
    }
    if (!isCatchUpDue(position->revision, monotonicNow()))
        return;
    // The changes since a revision of an earlier era cannot be asked for.
    if (isRestored)
        list(std::string());
    else
        catchUp();
}

bool object_watcher::isCatchUpDue(const store_revision& relayRevision, monotonic_time now)
{
    if (m_missedRevision <= m_revision) {
        m_missedRevision = relayRevision;
        m_missedSince = now;
    }
    const auto delay = relayRevision.era > m_revision.era ? m_catchUpDelay + restoredCatchUpDelay : m_catchUpDelay;
    return now - m_missedSince >= delay && now >= m_nextCatchUp;
}

void object_watcher::catchUp()
{
    ++m_catchUps;
    if (m_catchUps > maxCatchUps) {
        m_catchUps = 0;
        m_nextCatchUp = monotonicNow() + relistInterval;
        list(std::string());
        return;
    }
    m_isCatchingUp = true;
    m_nextCatchUp = monotonicNow() + catchUpInterval;
    m_store.watch(m_kind, m_revision, catchUpMaxWait,
        [self = shared_from_this()](const auto& events) { self->onCatchUpResult(events); });
}

void object_watcher::onCatchUpResult(const tl::expected<object_events, error>& events)
{
    m_isCatchingUp = false;
    if (m_isStopped)
        return;
    if (!events) {
        m_isFollowing = false;
        onFailure(events.error());
        return;
    }
    m_lastAnswerAt = monotonicNow();
    if (events->revision.era != m_revision.era) {
        list(std::string());
        return;
    }
    m_revision = std::max(m_revision, events->revision);
    m_changeRevision = m_revision;
    apply(events->events);
}

void object_watcher::applyBatch(const store_revision& after, const object_events& batch)
{
    if (m_isStopped || !m_hasListed || batch.revision <= m_revision)
        return;
    const bool hasMissedBatch = after > m_revision;
    if (!hasMissedBatch) {
        m_revision = batch.revision;
        m_changeRevision = batch.revision;
    }
    apply(batch.events);
}

void object_watcher::apply(const std::vector<object_event>& events)
{
    for (const auto& event : events) {
        if (m_index.apply(event))
            notify(event);
    }
}

void object_watcher::notifyListed(const std::vector<fleet_object>& objects)
{
    // Objects that cannot be used must not end the watch.
    try {
        m_callbacks.onList(objects);
    } catch (const std::exception& problem) {
        event_line(log_level::error, "store.list_failed").with("kind", m_kind).with("detail", problem.what());
    }
}

void object_watcher::notify(const object_event& event)
{
    try {
        m_callbacks.onEvent(event);
    } catch (const std::exception& problem) {
        event_line(log_level::error, "store.event_failed")
            .with("kind", m_kind)
            .with("name", event.object.name)
            .with("revision", toString(event.object.revision))
            .with("detail", problem.what());
    }
}

void object_watcher::watch()
{
    m_isWatching = true;
    m_store.watch(
        m_kind, m_revision, m_maxWait, [self = shared_from_this(), number = ++m_watchNumber](const auto& events) {
            if (number == self->m_watchNumber)
                self->onEvents(events);
        });
}

void object_watcher::abandonWatch()
{
    if (!m_isWatching || m_isStopped)
        return;
    relist();
}

void object_watcher::checkEra(std::uint64_t storeEra)
{
    if (storeEra > m_revision.era)
        abandonWatch();
}

void object_watcher::onEvents(const tl::expected<object_events, error>& events)
{
    m_isWatching = false;
    if (m_isStopped)
        return;
    if (!events) {
        onFailure(events.error());
        if (events.error().code == error_code::timeout && m_callbacks.onWatchTimeout)
            m_callbacks.onWatchTimeout();
        return;
    }
    if (events->revision.era != m_revision.era) {
        relist();
        return;
    }
    m_failures = 0;
    m_lastAnswerAt = monotonicNow();
    const auto after = m_changeRevision;
    m_revision = std::max(m_revision, events->revision);
    apply(events->events);
    if (!events->events.empty()) {
        m_changeRevision = std::max(m_changeRevision, events->revision);
        if (m_callbacks.onBatch)
            m_callbacks.onBatch(after, *events);
    }
    if (events->events.empty() || m_watchDelay == milliseconds(0))
        followOrWatch();
    else
        runAfter(m_watchDelay, &object_watcher::followOrWatch);
}

void object_watcher::onFailure(const error& failure)
{
    if (m_failures == 0)
        event_line(log_level::warn, "store.lost")
            .with("kind", m_kind)
            .with("revision", toString(m_revision))
            .with(failure);
    ++m_failures;
    const auto exponential = initialBackoff * (1 << std::min(m_failures - 1, maxBackoffDoublings));
    const auto delay = std::min(maxBackoff, exponential);
    constexpr double minFraction = 0.5;
    const double fraction = minFraction + (1 - minFraction) * m_random();
    runAfter(microseconds(static_cast<std::int64_t>(static_cast<double>(microseconds(delay).count()) * fraction)),
        &object_watcher::retry);
}

void object_watcher::runAfter(microseconds delay, void (object_watcher::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), step](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_isStopped)
            ((*self).*step)();
    });
}

void object_watcher::retry()
{
    if (m_hasListed && m_callbacks.mayFollow && m_callbacks.mayFollow()) {
        event_line(log_level::info, "store.relayed").with("kind", m_kind).with("revision", toString(m_revision));
        m_failures = 0;
        m_isFollowing = true;
        return;
    }
    if (m_callbacks.mayRetry && !m_callbacks.mayRetry()) {
        runAfter(retryTurnInterval, &object_watcher::retry);
        return;
    }
    // Lists instead of calling watch() from the last revision: a store that has just dropped its history may leave such
    // a watch waiting.
    list(std::string());
}

} // namespace flamingoroute
