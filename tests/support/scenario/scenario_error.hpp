#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_ERROR_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_ERROR_HPP

#include <string>

namespace flamingoroute::testing {

/// A parse error, a failed command or a failed expectation of a scenario.
struct scenario_error {
    int line = 0;
    std::string word; ///< the word in error; empty if the error concerns the whole line
    std::string detail;

    bool operator==(const scenario_error&) const = default;
};

/// @return "file:line: word 'x': detail"
std::string describe(const std::string& file, const scenario_error& problem);

} // namespace flamingoroute::testing

#endif
