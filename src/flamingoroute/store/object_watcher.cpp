#include "flamingoroute/store/object_watcher.hpp"

#include "flamingoroute/report/event_log.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr milliseconds firstPause { 100 };
constexpr milliseconds longestPause { 1000 };
constexpr int longestPauseFailures = 4;
/// Most of the history that a store keeps.
constexpr milliseconds defaultPatience { 15000 };

} // namespace

object_watcher::object_watcher(boost::asio::io_context& loop, watched_store& store, std::string kind, handlers handle,
    std::function<double()> random)
    : m_store(store)
    , m_kind(std::move(kind))
    , m_handle(std::move(handle))
    , m_random(std::move(random))
    , m_timer(loop)
    , m_patience(defaultPatience)
{
}

void object_watcher::start() { list(std::string()); }

void object_watcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void object_watcher::list(const std::string& after)
{
    m_isListing = true;
    m_isFollowing = false;
    if (after.empty())
        m_pages.clear();
    m_store.list(m_kind, after, [self = shared_from_this()](const auto& page) { self->onPage(page); });
}

void object_watcher::onPage(const tl::expected<object_page, error>& page)
{
    if (m_isStopped)
        return;
    if (!page) {
        onFailure(page.error());
        return;
    }
    if (m_pages.empty())
        m_pagesRevision = page->revision;
    m_pages.insert(m_pages.end(), page->objects.begin(), page->objects.end());
    if (page->hasMore && !page->objects.empty()) {
        list(page->objects.back().name);
        return;
    }
    if (m_failures > 0 || !m_hasListed)
        event_line(log_level::info, "store.listed").with("kind", m_kind).with("revision", m_pagesRevision);
    m_failures = 0;
    m_hasListed = true;
    m_isListing = false;
    m_revision = m_pagesRevision;
    m_changeRevision = m_pagesRevision;
    m_lastAnswerAt = monotonicNow();
    const auto objects = std::exchange(m_pages, {});
    m_handle.onList(objects);
    goOn();
}

void object_watcher::goOn()
{
    m_isFollowing = m_handle.mayFollow && m_handle.mayFollow();
    if (!m_isFollowing)
        watch();
}

void object_watcher::review()
{
    if (!m_isFollowing || m_isStopped)
        return;
    const bool isRelayLost = !m_handle.mayFollow();
    const bool isChangeMissed = m_handle.relayRevision && m_handle.relayRevision() > m_changeRevision;
    if (isRelayLost || isChangeMissed)
        list(std::string());
}

void object_watcher::takeBatch(std::uint64_t after, const object_events& batch)
{
    if (m_isStopped || !m_hasListed || batch.revision <= m_revision)
        return;
    for (const auto& event : batch.events)
        m_handle.onEvent(event);
    if (after > m_revision) {
        if (m_isFollowing)
            list(std::string());
        return;
    }
    m_revision = batch.revision;
    m_changeRevision = batch.revision;
}

void object_watcher::watch()
{
    m_store.watch(
        m_kind, m_revision, m_patience, [self = shared_from_this()](const auto& events) { self->onEvents(events); });
}

void object_watcher::onEvents(const tl::expected<object_events, error>& events)
{
    if (m_isStopped)
        return;
    if (!events) {
        onFailure(events.error());
        return;
    }
    m_failures = 0;
    m_lastAnswerAt = monotonicNow();
    const auto after = m_changeRevision;
    m_revision = std::max(m_revision, events->revision);
    for (const auto& event : events->events)
        m_handle.onEvent(event);
    if (!events->events.empty()) {
        m_changeRevision = std::max(m_changeRevision, events->revision);
        if (m_handle.onBatch)
            m_handle.onBatch(after, *events);
    }
    goOn();
}

void object_watcher::onFailure(const error& failure)
{
    if (m_failures == 0)
        event_line(log_level::warn, "store.lost").with("kind", m_kind).with("revision", m_revision).with(failure);
    ++m_failures;
    const auto growing = firstPause * (1 << std::min(m_failures - 1, longestPauseFailures));
    const auto pause = std::min(longestPause, growing);
    constexpr double leastPart = 0.5;
    const double part = leastPart + (1 - leastPart) * m_random();
    m_timer.expires_after(
        microseconds(static_cast<std::int64_t>(static_cast<double>(microseconds(pause).count()) * part)));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (cancelled || self->m_isStopped)
            return;
        // Not watch() from the last revision: a store that has just dropped its history may let such a watch wait.
        self->list(std::string());
    });
}

} // namespace flamingoroute
