#ifndef FLAMINGOROUTE_CONCURRENCY_BOUNDED_RING_HPP
#define FLAMINGOROUTE_CONCURRENCY_BOUNDED_RING_HPP

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace flamingoroute {

/// Bounded queue between threads: many may push, one pops. A full ring refuses new items and counts them.
/// @tparam Item a movable type
template <typename Item> class bounded_ring {
public:
    /// @param capacity items that fit; at most 65534
    explicit bounded_ring(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    ~bounded_ring()
    {
        Item* remaining = nullptr;
        while (m_queue.pop(remaining))
            delete remaining;
    }

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;

    /// @return false if the ring is full; the item is then dropped and counted
    bool push(Item item)
    {
        auto holder = std::make_unique<Item>(std::move(item));
        if (!m_queue.bounded_push(holder.get())) {
            ++m_refused;
            return false;
        }
        holder.release();
        m_arrived.notify_one();
        return true;
    }

    /// @return the oldest item, or nothing
    std::optional<Item> pop()
    {
        Item* raw = nullptr;
        if (!m_queue.pop(raw))
            return std::nullopt;
        const std::unique_ptr<Item> holder(raw);
        return std::move(*holder);
    }

    /// Waits until an item may be available.
    /// @param maxWait upper bound of the wait
    template <typename Duration> void waitForItem(Duration maxWait)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, maxWait, [this] { return !m_queue.empty(); });
    }

    /// @return items refused because the ring was full
    std::uint64_t refusedCount() const { return m_refused; }

private:
    boost::lockfree::queue<Item*, boost::lockfree::fixed_sized<true>> m_queue;
    std::atomic<std::uint64_t> m_refused { 0 };
    std::mutex m_mutex;
    std::condition_variable m_arrived;
};

} // namespace flamingoroute

#endif
