#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_WORLD_REGISTRY_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_WORLD_REGISTRY_HPP

#include "scenario_world.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace flamingoroute::testing {

/// The worlds available to scenarios. A world registers itself with a static world_registration.
class world_registry {
public:
    using factory = std::function<std::unique_ptr<scenario_world>(std::uint64_t seed)>;

    static world_registry& instance();

    void add(const std::string& name, factory make);

    /// @return a new world, or null if the name is not registered
    std::unique_ptr<scenario_world> make(const std::string& name, std::uint64_t seed) const;

private:
    std::map<std::string, factory> m_factories;
};

/// Adds a world to the registry when the program starts.
struct world_registration {
    world_registration(const std::string& name, world_registry::factory make);
};

} // namespace flamingoroute::testing

#endif
