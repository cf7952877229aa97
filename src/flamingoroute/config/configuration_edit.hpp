#ifndef FLAMINGOROUTE_CONFIG_CONFIGURATION_EDIT_HPP
#define FLAMINGOROUTE_CONFIG_CONFIGURATION_EDIT_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/settings/problem.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// One object to add to a configuration, replace in it or remove from it.
struct configuration_edit {
    std::string kind;
    std::string name;
    std::optional<std::string> json; ///< the object with kind and name; nullopt: remove it

    bool operator==(const configuration_edit&) const = default;
};

/// @return @p objects with all edits applied, sorted, or every problem; the result as a whole is not checked
tl::expected<configuration, problem_list> applyEdits(
    configuration objects, const std::vector<configuration_edit>& edits);

} // namespace flamingoroute

#endif
