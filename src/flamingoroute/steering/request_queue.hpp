#ifndef FLAMINGOROUTE_STEERING_REQUEST_QUEUE_HPP
#define FLAMINGOROUTE_STEERING_REQUEST_QUEUE_HPP

#include "flamingoroute/steering/steering_settings.hpp"
#include "flamingoroute/steering/waiting_request.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace flamingoroute {

/// Requests that wait for a slot of one service version. Pure: no I/O, clocks or threads.
/// Customers are served by deficit round robin in proportion to their weights, interactive requests before bulk ones,
/// but one bulk request after a set number of interactive ones. Bounded per customer and in total.
class request_queue {
public:
    explicit request_queue(steering_settings settings);

    /// @param weight of the request's customer
    /// @return false if the queue is full, for this customer or in total
    bool push(waiting_request request, int weight);

    /// @param canStart called with the oldest request of each customer, in service order
    /// @return the first request that can start, removed from the queue
    std::optional<waiting_request> popFirst(const std::function<bool(const waiting_request&)>& canStart);

    /// @return the requests whose deadline is before @p earliestEnd, removed from the queue
    std::vector<waiting_request> dropLate(monotonic_time earliestEnd);

    /// Removes a request.
    /// @return false if it is not in this queue
    bool remove(std::uint64_t ticket);

    std::size_t size() const { return m_size; }

    /// @return the estimated number of requests that a new one of this customer would wait for under fair queueing
    std::size_t countAhead(const customer_id& customer, request_class requestClass, int weight) const;

    /// @return when the oldest waiting request was enqueued
    std::optional<monotonic_time> oldest() const;

private:
    struct customer_queue {
        std::deque<waiting_request> requests;
        int weight = 1;
        int deficit = 0;
    };
    struct class_queue {
        std::map<customer_id, customer_queue> customers;
        std::deque<customer_id> order;
    };

    class_queue& queueOf(request_class requestClass) { return m_classes[static_cast<std::size_t>(requestClass)]; }
    std::optional<waiting_request> popFrom(
        class_queue& from, const std::function<bool(const waiting_request&)>& canStart);
    void dropEmptyQueues(class_queue& from);
    std::vector<waiting_request> takeIf(const std::function<bool(const waiting_request&)>& isWanted);

    steering_settings m_settings;
    std::array<class_queue, 2> m_classes;
    std::size_t m_size = 0;
    int m_interactiveInRow = 0;
};

} // namespace flamingoroute

#endif
