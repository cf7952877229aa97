#ifndef FLAMINGOROUTE_RUNTIME_CONTROL_NODE_HPP
#define FLAMINGOROUTE_RUNTIME_CONTROL_NODE_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <tl/expected.hpp>

#include <memory>

namespace flamingoroute {

/// The control process of an instance: wires the duties that watch, publish, run moves and serve operators.
class control_node {
public:
    explicit control_node(instance_settings settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /// @return the error of the first component that failed to start
    tl::expected<void, error> start();

    /// Releases leases, ends operators' calls and stops.
    void stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace flamingoroute

#endif
