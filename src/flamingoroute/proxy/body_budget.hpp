#ifndef FLAMINGOROUTE_PROXY_BODY_BUDGET_HPP
#define FLAMINGOROUTE_PROXY_BODY_BUDGET_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute {

class body_lease;

/// Memory that the bodies of all callers' requests share. Used by one thread.
///
/// An owner is a customer, or the callers without a key together. One owner cannot occupy all of the memory, except by
/// a single body. When there is no room, a body whose caller sends too slowly is evicted, then one of the owner with
/// the most bytes if the body that needs room belongs to an owner with less than an equal share.
class body_budget : public std::enable_shared_from_this<body_budget> {
public:
    /// @param limit in bytes
    explicit body_budget(std::size_t limit);

    /// @param evict called at most once, to drop the incomplete body and its lease
    std::unique_ptr<body_lease> open(const std::string& owner, monotonic_time now, std::function<void()> evict);

    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }

private:
    friend class body_lease;

    struct owner_use {
        std::size_t bytes = 0;
        std::size_t bodies = 0; ///< those that occupy bytes
    };

    bool grow(body_lease& lease, std::size_t bytes, monotonic_time now);
    bool fits(const body_lease& lease, std::size_t bytes) const;
    bool fitsOwner(const body_lease& lease, std::size_t bytes) const;
    body_lease* findVictim(const body_lease& forLease, std::size_t bytes, monotonic_time now) const;
    body_lease* slowestOf(const body_lease& forLease, bool isSameOwner, monotonic_time now) const;
    body_lease* newestOfLargestOwner(const body_lease& forLease, std::size_t bytes) const;
    void add(body_lease& lease, std::size_t bytes);
    void remove(body_lease& lease);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::map<std::string, owner_use> m_owners;
    std::vector<body_lease*> m_open; ///< in the order of their start
};

} // namespace flamingoroute

#endif
