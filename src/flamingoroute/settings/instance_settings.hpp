#ifndef FLAMINGOROUTE_SETTINGS_INSTANCE_SETTINGS_HPP
#define FLAMINGOROUTE_SETTINGS_INSTANCE_SETTINGS_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/settings/control_options.hpp"
#include "flamingoroute/settings/entry_options.hpp"
#include "flamingoroute/settings/problem.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// The settings file of an instance, read by flamingo-entry and flamingo-control alike.
struct instance_settings {
    member self;
    endpoint metricsAddress; ///< HTTP, metrics of the entry process
    endpoint platformAddress; ///< HTTP, the platform's object API
    std::string keyPepperFile; ///< secret that keys are hashed with
    std::string logLevel = "info";
    std::vector<member> peers; ///< instances to begin with; others are learned
    entry_options entry;
    control_options control;

    bool operator==(const instance_settings&) const = default;
};

/// @param path a file of JSON with comments
/// @return the settings, or every problem, each with the file and the key path
tl::expected<instance_settings, problem_list> readInstanceSettings(const std::string& path);

} // namespace flamingoroute

#endif
