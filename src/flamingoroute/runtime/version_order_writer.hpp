#ifndef FLAMINGOROUTE_RUNTIME_VERSION_ORDER_WRITER_HPP
#define FLAMINGOROUTE_RUNTIME_VERSION_ORDER_WRITER_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <functional>
#include <map>

namespace flamingoroute {

class watched_store;
struct fleet_port;
struct serving_state;
struct version_order;

/// Writes the states of operators' orders to the store when they are due.
class version_order_writer {
public:
    /// @param refresh called for an order whose revision the store did not accept: it must be read again
    version_order_writer(serving_state& state, watched_store& store, const fleet_port& port,
        std::function<void(const service_id&)> refresh);

    /// Writes the states that this instance should write now. To be called several times a second.
    void writeDue(monotonic_time now);

private:
    void write(const version_order& order);

    serving_state& m_state;
    watched_store& m_store;
    const fleet_port& m_port;
    std::function<void(const service_id&)> m_refresh;
    std::map<service_id, monotonic_time> m_writtenAt; ///< last attempt
};

} // namespace flamingoroute

#endif
