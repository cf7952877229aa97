#ifndef FLAMINGOROUTE_PROXY_BODY_LEASE_HPP
#define FLAMINGOROUTE_PROXY_BODY_LEASE_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace flamingoroute {

class body_budget;

/// The part of a body_budget that one body occupies; returned when the lease is destroyed.
class body_lease {
public:
    /// Created by body_budget::open().
    body_lease(std::shared_ptr<body_budget> budget, std::string owner, monotonic_time now, std::function<void()> evict);
    ~body_lease();
    body_lease(const body_lease&) = delete;
    body_lease& operator=(const body_lease&) = delete;

    /// Counts the body at its present size.
    /// @return whether it fits; if not, nothing more is counted
    bool growTo(std::size_t bytes, monotonic_time now);

    /// Keeps the body from being evicted: it is complete.
    void complete() { m_evict = nullptr; }

    /// Changes who the body is counted for.
    void assignTo(const std::string& owner);

private:
    friend class body_budget;

    std::shared_ptr<body_budget> m_budget;
    std::string m_owner;
    std::function<void()> m_evict; ///< null once the body is complete
    std::size_t m_bytes = 0;
    std::size_t m_markedBytes = 0;
    monotonic_time m_markedAt; ///< when the body had last grown by what is the least progress
};

} // namespace flamingoroute

#endif
