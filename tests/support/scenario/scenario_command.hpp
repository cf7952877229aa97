#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_COMMAND_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_COMMAND_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <string>
#include <vector>

namespace flamingoroute::testing {

/// One command of a scenario: its time and its words.
struct scenario_command {
    microseconds at { 0 }; ///< since the start of the scenario
    int line = 0; ///< in the file, from 1
    std::vector<std::string> words;

    bool operator==(const scenario_command&) const = default;
};

} // namespace flamingoroute::testing

#endif
