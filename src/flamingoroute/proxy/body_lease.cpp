#include "flamingoroute/proxy/body_lease.hpp"

#include "flamingoroute/proxy/body_budget.hpp"

namespace flamingoroute {

body_lease::body_lease(
    std::shared_ptr<body_budget> budget, std::string owner, monotonic_time now, std::function<void()> evict)
    : m_budget(std::move(budget))
    , m_owner(std::move(owner))
    , m_evict(std::move(evict))
    , m_markedAt(now)
{
}

body_lease::~body_lease()
{
    m_budget->remove(*this);
    std::erase(m_budget->m_open, this);
}

bool body_lease::growTo(std::size_t bytes, monotonic_time now)
{
    return bytes <= m_bytes || m_budget->grow(*this, bytes - m_bytes, now);
}

void body_lease::assignTo(const std::string& owner)
{
    const auto bytes = m_bytes;
    m_budget->remove(*this);
    m_owner = owner;
    m_budget->add(*this, bytes);
}

} // namespace flamingoroute
