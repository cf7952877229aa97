#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_HPP

#include "scenario_command.hpp"
#include "scenario_error.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// A parsed scenario file. The language has one statement per line; `#` starts a comment:
///
///     world NAME                            the simulation it runs on
///     seeds FIRST..LAST                     run once for each seed
///     at TIME WORD...                       a command at a given time: 250ms, 2s, 1.5s, 3min
///     from TIME to TIME each STEP WORD...   the command repeated, both ends included
///
/// Commands run in order of time; those with the same time run in file order.
struct scenario {
    std::string world;
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = 1;
    std::vector<scenario_command> commands;
};

/// @param text the content of a scenario file
/// @return the scenario, or the line and word that cannot be parsed
tl::expected<scenario, scenario_error> parseScenario(const std::string& text);

/// @param word a duration such as "250ms", "2s", "1.5s" or "3min"
/// @return false if @p word is not a duration
bool parseDuration(const std::string& word, microseconds& result);

} // namespace flamingoroute::testing

#endif
