#include "run_scenario.hpp"

#include "world_registry.hpp"

namespace flamingoroute::testing {

tl::expected<void, scenario_error> runScenario(const scenario& script, std::uint64_t seed)
{
    const auto world = world_registry::instance().make(script.world, seed);
    if (!world)
        return tl::unexpected(scenario_error { 1, script.world, "is not a known world" });
    for (const auto& command : script.commands) {
        world->advanceTo(command.at);
        auto done = world->run(command);
        if (!done) {
            auto problem = done.error();
            problem.line = command.line;
            return tl::unexpected(problem);
        }
    }
    return {};
}

} // namespace flamingoroute::testing
