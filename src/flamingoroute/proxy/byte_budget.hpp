#ifndef FLAMINGOROUTE_PROXY_BYTE_BUDGET_HPP
#define FLAMINGOROUTE_PROXY_BYTE_BUDGET_HPP

#include <algorithm>
#include <cstddef>

namespace flamingoroute {

/// Memory that the incomplete answers of all connections share. Used by one thread.
class byte_budget {
public:
    explicit byte_budget(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// @return whether @p bytes fit into the budget; they are counted only if they do
    bool take(std::size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }

    /// Returns bytes that were taken.
    void release(std::size_t bytes) { m_used -= std::min(m_used, bytes); }

    std::size_t used() const { return m_used; }

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace flamingoroute

#endif
