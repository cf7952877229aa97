#include "flamingoroute/runtime/watch_duty.hpp"

#include "flamingoroute/config/config_head.hpp"

#include <random>

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 1024;
constexpr milliseconds readerInterval { 1000 };
constexpr milliseconds watchTimeout { 2000 };
constexpr milliseconds idlePollInterval { 50 };

watch_policy::random_fraction makeRandom()
{
    return [engine = std::mt19937(std::random_device {}())]() mutable {
        return std::uniform_real_distribution<double>(0, 1)(engine);
    };
}

} // namespace

watch_duty::watch_duty(object_store& store, watch_duty_hooks hooks)
    : m_store(store)
    , m_hooks(std::move(hooks))
    , m_policy(makeRandom())
    , m_reader(
          ringCapacity, readerInterval, [](const read_job& job) { job(); }, [] {})
{
}

watch_duty::~watch_duty() { stop(); }

void watch_duty::start()
{
    m_reader.start();
    m_watchThread = std::thread([this] { watchLoop(); });
}

void watch_duty::stop()
{
    m_isStopping = true;
    if (m_watchThread.joinable())
        m_watchThread.join();
    m_reader.stop();
}

void watch_duty::readHead()
{
    m_reader.post([this] { fetchHead(); });
}

void watch_duty::readChunks(const std::vector<std::string>& hashes)
{
    for (const auto& hash : hashes) {
        m_reader.post([this, hash] {
            const auto chunk = m_store.get(configChunkKind, hash);
            if (chunk)
                m_hooks.onChunk(hash, chunk->value);
            else
                m_hooks.onError(chunk.error());
        });
    }
}

std::optional<monotonic_time> watch_duty::lastReadSentAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastReadSentAt;
}

void watch_duty::recordRead(monotonic_time requestedAt)
{
    const std::lock_guard lock(m_mutex);
    m_lastReadSentAt = requestedAt;
}

void watch_duty::watchLoop()
{
    while (!m_isStopping) {
        auto lastAnswer = lastReadSentAt();
        const auto byPeers = m_hooks.lastPlatformAnswerAtPeers ? m_hooks.lastPlatformAnswerAtPeers() : std::nullopt;
        if (byPeers && (!lastAnswer || *lastAnswer < *byPeers))
            lastAnswer = byPeers;
        const auto step = m_policy.next(m_isWatcher, lastAnswer, monotonicNow());
        if (step == watch_step::wait)
            std::this_thread::sleep_for(idlePollInterval);
        else
            runStep(step);
    }
}

void watch_duty::runStep(watch_step step)
{
    bool isAnswered = false;
    if (step == watch_step::watch_head)
        isAnswered = watchOnce();
    else if (step == watch_step::read_head)
        isAnswered = fetchHead();
    else
        isAnswered = fetchInstances();
    m_policy.onDone(step, isAnswered, monotonicNow());
}

bool watch_duty::watchOnce()
{
    const auto requestedAt = monotonicNow();
    const auto changes = m_store.watch(configHeadKind, m_sequence, watchTimeout);
    if (!changes) {
        m_hooks.onError(changes.error());
        return false;
    }
    recordRead(requestedAt);
    for (const auto& change : *changes) {
        m_sequence = change.sequence;
        if (!change.isDeleted)
            m_hooks.onHead(change.object.value);
    }
    return true;
}

bool watch_duty::fetchHead()
{
    const auto requestedAt = monotonicNow();
    const auto head = m_store.get(configHeadKind, configHeadName);
    if (!head && head.error().code != error_code::not_found) {
        m_hooks.onError(head.error());
        return false;
    }
    recordRead(requestedAt);
    m_sequence = head ? head->version : 0;
    if (head)
        m_hooks.onHead(head->value);
    return true;
}

bool watch_duty::fetchInstances()
{
    const auto listed = m_store.instances();
    if (!listed) {
        m_hooks.onError(listed.error());
        return false;
    }
    m_hooks.onInstances(*listed);
    return true;
}

} // namespace flamingoroute
