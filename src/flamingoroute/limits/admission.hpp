#ifndef FLAMINGOROUTE_LIMITS_ADMISSION_HPP
#define FLAMINGOROUTE_LIMITS_ADMISSION_HPP

namespace flamingoroute {

/// Result of a request for a token.
enum class admission {
    admitted,
    waiting,
    refused,
};

} // namespace flamingoroute

#endif
