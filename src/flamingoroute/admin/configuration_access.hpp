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

/// How the admin API reads and changes the configuration. Each may be called from many threads at once.
struct configuration_access {
    /// @return the configuration in force at this instance, or null
    std::function<configuration_ptr()> current;

    /// Publishes a whole set.
    /// @param expected the revision that must be published now; nothing: whichever is
    std::function<tl::expected<revision, publish_failure>(
        const configuration& objects, std::optional<revision> expected)>
        publish;

    /// Publishes edits of the published set.
    std::function<tl::expected<revision, publish_failure>(
        const std::vector<configuration_edit>& edits, std::optional<revision> expected)>
        edit;
};

} // namespace flamingoroute

#endif
