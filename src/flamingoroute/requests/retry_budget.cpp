#include "flamingoroute/requests/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace flamingoroute {

retry_budget::retry_budget(retry_limits limits)
    : m_limits(limits)
{
}

void retry_budget::recordRequest(const customer_id& customer, monotonic_time now)
{
    auto& budget = accountOf(customer, now);
    budget.retries = std::min(m_limits.burst, budget.retries + m_limits.perRequest);
}

bool retry_budget::takeRetry(const customer_id& customer, monotonic_time now)
{
    auto& budget = accountOf(customer, now);
    if (budget.retries < 1)
        return false;
    budget.retries -= 1;
    return true;
}

retry_budget::account& retry_budget::accountOf(const customer_id& customer, monotonic_time now)
{
    const auto [found, isNew] = m_accounts.try_emplace(customer, account { m_limits.burst, now });
    auto& budget = found->second;
    const std::chrono::duration<double> passed = std::max(now - budget.at, microseconds { 0 });
    budget.retries = std::min(m_limits.burst, budget.retries + passed.count() * m_limits.perSecond);
    budget.at = std::max(budget.at, now);
    return budget;
}

} // namespace flamingoroute
