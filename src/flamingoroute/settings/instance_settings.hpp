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

/// The settings file of an instance, shared by flamingo-entry and flamingo-control.
struct instance_settings {
    member self;
    endpoint metricsAddress; ///< HTTP, serves the metrics of the entry process
    endpoint platformAddress; ///< HTTP, the platform's object API
    std::string keyPepperFile; ///< file with the secret that keys are hashed with
    std::string logLevel = "info";
    std::vector<member> peers; ///< initial peers; others are discovered at run time
    entry_options entry;
    control_options control;

    bool operator==(const instance_settings&) const = default;
};

/// @param path a JSON file; comments are allowed
/// @return the settings, or all problems, each with the file and the path of the field
tl::expected<instance_settings, problem_list> readInstanceSettings(const std::string& path);

} // namespace flamingoroute

#endif
