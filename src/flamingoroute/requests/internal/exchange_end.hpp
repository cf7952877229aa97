#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_EXCHANGE_END_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_EXCHANGE_END_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <optional>

namespace flamingoroute::internal {

/// How one exchange on a connection ended.
struct exchange_end {
    std::optional<caller_answer> answer; ///< the whole answer with all its headers
    error failure; ///< if there is no whole answer
    bool isWritten = false; ///< at least one byte of the request left
    bool isUnresponsive = false; ///< no byte came back in time
    bool isReusable = false; ///< the connection may carry another exchange
};

} // namespace flamingoroute::internal

#endif
