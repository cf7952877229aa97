#ifndef FLAMINGOROUTE_PROXY_BODY_ADMISSION_HPP
#define FLAMINGOROUTE_PROXY_BODY_ADMISSION_HPP

#include "flamingoroute/requests/caller_answer.hpp"

#include <optional>
#include <string>

namespace flamingoroute {

/// What the head of a request decides about its body.
struct body_admission {
    std::optional<caller_answer> refusal; ///< empty if the body is worth reading
    std::string owner; ///< who the body's memory is counted for
};

} // namespace flamingoroute

#endif
