#ifndef FLAMINGOROUTE_RUNTIME_CONFIGURATION_HOLDER_HPP
#define FLAMINGOROUTE_RUNTIME_CONFIGURATION_HOLDER_HPP

#include "flamingoroute/model/configuration.hpp"

#include <atomic>
#include <memory>

namespace flamingoroute {

/// The active configuration, swapped by pointer. Readers hold a lock no longer than it takes to copy a pointer.
class configuration_holder {
public:
    /// @return the active configuration, or null before the first one
    configuration_ptr get() const { return m_current.load(); }

    void set(configuration_ptr current) { m_current.store(std::move(current)); }

private:
    std::atomic<configuration_ptr> m_current;
};

} // namespace flamingoroute

#endif
