#ifndef FLAMINGOROUTE_SETTINGS_PROBLEM_HPP
#define FLAMINGOROUTE_SETTINGS_PROBLEM_HPP

#include <string>
#include <vector>

namespace flamingoroute {

/// A violated rule in an input, and where.
struct problem {
    std::string path; ///< for example "settings.peers[2].entry_address" or "upstream/m-1.slots"
    std::string rule; ///< for example "must be between 1 and 100000"

    bool operator==(const problem&) const = default;
};

using problem_list = std::vector<problem>;

/// @return a line for each problem: "path: rule"
std::string describe(const problem_list& problems);

} // namespace flamingoroute

#endif
