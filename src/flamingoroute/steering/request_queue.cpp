#include "flamingoroute/steering/request_queue.hpp"

#include <algorithm>

namespace flamingoroute {

request_queue::request_queue(steering_settings settings)
    : m_settings(settings)
{
}

bool request_queue::push(waiting_request request, int weight)
{
    if (m_size >= m_settings.queueTotal)
        return false;
    auto& into = queueOf(request.requirements.requestClass);
    const auto customer = request.requirements.customer;
    auto& own = into.customers[customer];
    if (own.requests.size() >= m_settings.queuePerCustomer)
        return false;
    if (own.requests.empty())
        into.order.push_back(customer);
    own.weight = std::max(1, weight);
    own.requests.push_back(std::move(request));
    ++m_size;
    return true;
}

std::optional<waiting_request> request_queue::popFirst(const std::function<bool(const waiting_request&)>& canStart)
{
    auto& interactive = queueOf(request_class::interactive);
    auto& bulk = queueOf(request_class::bulk);
    const bool isBulkDue = m_interactiveInRow >= m_settings.interactivePerBulk;
    auto found = popFrom(isBulkDue ? bulk : interactive, canStart);
    bool isBulk = isBulkDue;
    if (!found) {
        isBulk = !isBulkDue;
        found = popFrom(isBulk ? bulk : interactive, canStart);
    }
    if (found)
        m_interactiveInRow = isBulk || bulk.order.empty() ? 0 : m_interactiveInRow + 1;
    return found;
}

std::optional<waiting_request> request_queue::popFrom(
    class_queue& from, const std::function<bool(const waiting_request&)>& canStart)
{
    for (std::size_t index = 0; index < from.order.size(); ++index) {
        const auto customer = from.order[index];
        auto& own = from.customers[customer];
        if (!canStart(own.requests.front()))
            continue;
        if (own.deficit <= 0)
            own.deficit = own.weight;
        auto found = std::move(own.requests.front());
        own.requests.pop_front();
        --own.deficit;
        --m_size;
        const bool isTurnOver = own.deficit <= 0 || own.requests.empty();
        if (isTurnOver) {
            from.order.erase(from.order.begin() + static_cast<std::ptrdiff_t>(index));
            own.deficit = 0;
            if (own.requests.empty())
                from.customers.erase(customer);
            else
                from.order.push_back(customer);
        }
        return found;
    }
    return std::nullopt;
}

std::vector<waiting_request> request_queue::takeIf(const std::function<bool(const waiting_request&)>& isWanted)
{
    std::vector<waiting_request> taken;
    for (auto& from : m_classes) {
        for (auto& [customer, own] : from.customers) {
            for (const auto& request : own.requests) {
                if (isWanted(request))
                    taken.push_back(request);
            }
            std::erase_if(own.requests, isWanted);
        }
        dropEmptyQueues(from);
    }
    m_size -= taken.size();
    return taken;
}

void request_queue::dropEmptyQueues(class_queue& from)
{
    std::erase_if(from.customers, [](const auto& item) { return item.second.requests.empty(); });
    std::erase_if(from.order, [&](const customer_id& customer) { return !from.customers.contains(customer); });
}

std::vector<waiting_request> request_queue::dropLate(monotonic_time earliestEnd)
{
    return takeIf(
        [earliestEnd](const waiting_request& request) { return request.requirements.deadline < earliestEnd; });
}

bool request_queue::remove(std::uint64_t ticket)
{
    return !takeIf([ticket](const waiting_request& request) { return request.ticket == ticket; }).empty();
}

std::size_t request_queue::countAhead(const customer_id& customer, request_class requestClass, int weight) const
{
    std::size_t ahead = 0;
    std::size_t sumOfWeights = static_cast<std::size_t>(std::max(1, weight));
    std::size_t own = 0;
    const auto& interactive = m_classes[static_cast<std::size_t>(request_class::interactive)];
    const auto& sameClass = m_classes[static_cast<std::size_t>(requestClass)];
    for (const auto& [other, queued] : sameClass.customers) {
        ahead += queued.requests.size();
        if (other == customer)
            own = queued.requests.size();
        else
            sumOfWeights += static_cast<std::size_t>(queued.weight);
    }
    const auto fair = (own + 1) * sumOfWeights / static_cast<std::size_t>(std::max(1, weight));
    ahead = std::min(ahead, fair);
    if (requestClass == request_class::bulk) {
        for (const auto& [other, queued] : interactive.customers)
            ahead += queued.requests.size();
    }
    return ahead;
}

std::optional<monotonic_time> request_queue::oldest() const
{
    std::optional<monotonic_time> first;
    for (const auto& from : m_classes) {
        for (const auto& [customer, own] : from.customers) {
            if (!first || own.requests.front().enqueuedAt < *first)
                first = own.requests.front().enqueuedAt;
        }
    }
    return first;
}

} // namespace flamingoroute
