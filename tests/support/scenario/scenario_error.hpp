#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_ERROR_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_ERROR_HPP

#include <string>

namespace flamingoroute::testing {

/// Why a scenario cannot be read, or which expectation did not hold.
struct scenario_error {
    int line = 0;
    std::string word; ///< the word concerned; empty if the whole line is
    std::string detail;

    bool operator==(const scenario_error&) const = default;
};

/// @return "file:line: word 'x': detail"
std::string describe(const std::string& file, const scenario_error& problem);

} // namespace flamingoroute::testing

#endif
