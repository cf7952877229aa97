#ifndef FLAMINGOROUTE_SETTINGS_CONTROL_OPTIONS_HPP
#define FLAMINGOROUTE_SETTINGS_CONTROL_OPTIONS_HPP

#include "flamingoroute/model/endpoint.hpp"

#include <string>

namespace flamingoroute {

/// Settings of the control process only.
struct control_options {
    endpoint adminAddress; ///< HTTP, for operators
    std::string operatorTokenFile; ///< one "NAME TOKEN" pair a line

    bool operator==(const control_options&) const = default;
};

} // namespace flamingoroute

#endif
