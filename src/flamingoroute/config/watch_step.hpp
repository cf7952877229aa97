#ifndef FLAMINGOROUTE_CONFIG_WATCH_STEP_HPP
#define FLAMINGOROUTE_CONFIG_WATCH_STEP_HPP

namespace flamingoroute {

/// The next call to the platform.
enum class watch_step {
    wait,
    watch_head,
    read_head,
    read_instances,
};

} // namespace flamingoroute

#endif
