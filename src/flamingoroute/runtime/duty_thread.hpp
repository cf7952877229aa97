#ifndef FLAMINGOROUTE_RUNTIME_DUTY_THREAD_HPP
#define FLAMINGOROUTE_RUNTIME_DUTY_THREAD_HPP

#include "flamingoroute/concurrency/bounded_ring.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace flamingoroute {

/// Thread of one duty (a background task): handles events from a bounded ring and calls a step at a fixed interval.
/// Only this thread accesses the state of the duty.
/// @tparam Event type of the queued events
template <typename Event> class duty_thread {
public:
    using event_handler = std::function<void(Event)>;
    using tick_handler = std::function<void()>;

    /// @param ringCapacity maximum number of queued events
    /// @param tick time between two calls of @p onTick
    duty_thread(std::size_t ringCapacity, milliseconds tick, event_handler onEvent, tick_handler onTick)
        : m_ring(ringCapacity)
        , m_tick(tick)
        , m_onEvent(std::move(onEvent))
        , m_onTick(std::move(onTick))
    {
    }

    ~duty_thread() { stop(); }
    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /// Queues an event for the duty.
    /// @return false if the ring is full
    bool post(Event event) { return m_ring.push(std::move(event)); }

    /// Stops the thread after its current step.
    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// @return the number of events refused because the ring was full
    std::uint64_t refusedCount() const { return m_ring.refusedCount(); }

private:
    void run()
    {
        auto nextTick = monotonicNow();
        while (!m_isStopping) {
            while (auto event = m_ring.pop())
                m_onEvent(std::move(*event));
            const auto now = monotonicNow();
            if (now >= nextTick) {
                m_onTick();
                nextTick = now + m_tick;
            }
            m_ring.waitForItem(std::min<microseconds>(nextTick - now, m_tick));
        }
    }

    bounded_ring<Event> m_ring;
    milliseconds m_tick;
    event_handler m_onEvent;
    tick_handler m_onTick;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace flamingoroute

#endif
