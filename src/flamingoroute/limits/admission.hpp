#ifndef FLAMINGOROUTE_LIMITS_ADMISSION_HPP
#define FLAMINGOROUTE_LIMITS_ADMISSION_HPP

namespace flamingoroute {

/// What becomes of a request that asks for a token.
enum class admission {
    admitted,
    waiting,
    refused,
};

} // namespace flamingoroute

#endif
