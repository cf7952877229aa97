#ifndef FLAMINGOROUTE_ADMIN_CONFIGURATION_ACCESS_HPP
#define FLAMINGOROUTE_ADMIN_CONFIGURATION_ACCESS_HPP

#include "flamingoroute/config/configuration_edit.hpp"
#include "flamingoroute/config/publish_failure.hpp"
#include "flamingoroute/model/configuration.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace flamingoroute {

/// Functions by which the admin API reads and changes the configuration. Called from many threads at once.
struct configuration_access {
    /// @return the active configuration of this instance, or null
    std::function<configuration_ptr()> current;

    /// Publishes a complete set of objects.
    /// @param expected the revision that must currently be published; nullopt: any
    std::function<tl::expected<revision, publish_failure>(
        const configuration& objects, std::optional<revision> expected)>
        publish;

    /// Applies edits to the published set and publishes the result.
    std::function<tl::expected<revision, publish_failure>(
        const std::vector<configuration_edit>& edits, std::optional<revision> expected)>
        edit;
};

} // namespace flamingoroute

#endif
