#ifndef FLAMINGOROUTE_RUNTIME_ENTRY_NODE_HPP
#define FLAMINGOROUTE_RUNTIME_ENTRY_NODE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <tl/expected.hpp>

#include <memory>

namespace flamingoroute {

/// The entry process of an instance: wires the duties of the data path and runs them.
class entry_node {
public:
    explicit entry_node(instance_settings settings);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Starts to listen for peers and callers. Requests are refused as not run until a configuration is active.
    /// @return the error of the first component that failed to start
    tl::expected<void, error> start();

    /// Planned stop: look-ups stop returning this instance, look-up answers cached by callers expire, and requests in
    /// progress finish.
    void stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace flamingoroute

#endif
