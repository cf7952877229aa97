#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FAULT_PROXY_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FAULT_PROXY_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "link_fault.hpp"

#include <functional>
#include <memory>
#include <string>

namespace flamingoroute::testing {

/// A TCP proxy that injects faults. Each named link forwards a loopback port to a target; one thread serves all links.
class fault_proxy {
public:
    fault_proxy();
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Adds a link.
    /// @param name used by setFault(), for example "guate-1>entry-3"
    /// @return the address to connect to
    endpoint addLink(const std::string& name, const endpoint& target);

    /// Sets the fault of each link whose name @p matches.
    void setFault(const std::function<bool(const std::string& name)>& matches, const link_fault& fault);

    /// Sets the fault of one link.
    void setFault(const std::string& name, const link_fault& fault);

    /// Clears the faults of all links. Frozen connections stay frozen.
    void heal();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute::testing

#endif
