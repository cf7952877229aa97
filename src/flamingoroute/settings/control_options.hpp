#ifndef FLAMINGOROUTE_SETTINGS_CONTROL_OPTIONS_HPP
#define FLAMINGOROUTE_SETTINGS_CONTROL_OPTIONS_HPP

#include "flamingoroute/model/endpoint.hpp"

#include <string>

namespace flamingoroute {

/// What the control process may be told besides its addresses.
struct control_options {
    endpoint adminAddress; ///< HTTP, for operators
    std::string operatorTokenFile; ///< one "NAME TOKEN" pair a line

    bool operator==(const control_options&) const = default;
};

} // namespace flamingoroute

#endif
