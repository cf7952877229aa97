#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_RUN_SCENARIO_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_RUN_SCENARIO_HPP

#include "scenario.hpp"

namespace flamingoroute::testing {

/// Runs a scenario once in a new world.
/// @return the error of the first command that failed
tl::expected<void, scenario_error> runScenario(const scenario& script, std::uint64_t seed);

} // namespace flamingoroute::testing

#endif
