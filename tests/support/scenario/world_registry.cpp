#include "world_registry.hpp"

namespace flamingoroute::testing {

world_registry& world_registry::instance()
{
    static world_registry registry;
    return registry;
}

void world_registry::add(const std::string& name, factory make) { m_factories[name] = std::move(make); }

std::unique_ptr<scenario_world> world_registry::make(const std::string& name, std::uint64_t seed) const
{
    const auto found = m_factories.find(name);
    return found == m_factories.end() ? nullptr : found->second(seed);
}

world_registration::world_registration(const std::string& name, world_registry::factory make)
{
    world_registry::instance().add(name, std::move(make));
}

} // namespace flamingoroute::testing
