#include "flamingoroute/config/watch_policy.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr milliseconds headInterval { 10'000 };
constexpr milliseconds instancesInterval { 10'000 };
constexpr milliseconds maxContactAge { 3'000 };
constexpr milliseconds minReadInterval { 5'000 };
constexpr milliseconds firstBackoff { 200 };
constexpr milliseconds maxBackoff { 2'000 };
constexpr int maxDoublings = 10;

} // namespace

watch_policy::watch_policy(random_fraction random)
    : m_random(std::move(random))
{
}

milliseconds watch_policy::jittered(milliseconds time) const
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * (0.5 + m_random())));
}

watch_step watch_policy::next(bool isWatcher, std::optional<monotonic_time> lastContactAt, monotonic_time now)
{
    if (now < m_notBefore)
        return watch_step::wait;
    if (!m_hasRead)
        return watch_step::read_head;
    if (isWatcher) {
        if (now >= m_nextInstances)
            return watch_step::read_instances;
        return now >= m_nextHead ? watch_step::read_head : watch_step::watch_head;
    }
    const bool isContactStale = !lastContactAt || now > *lastContactAt + maxContactAge;
    return isContactStale && now >= m_nextHead ? watch_step::read_head : watch_step::wait;
}

void watch_policy::onDone(watch_step step, bool isAnswered, monotonic_time now)
{
    if (!isAnswered) {
        const auto backoff = firstBackoff * (1 << std::min(m_failures, maxDoublings));
        ++m_failures;
        m_notBefore = now + jittered(std::min(backoff, maxBackoff));
        return;
    }
    m_failures = 0;
    if (step == watch_step::read_head) {
        m_hasRead = true;
        m_nextHead = now + std::max(minReadInterval, jittered(headInterval));
    }
    if (step == watch_step::read_instances)
        m_nextInstances = now + jittered(instancesInterval);
}

} // namespace flamingoroute
