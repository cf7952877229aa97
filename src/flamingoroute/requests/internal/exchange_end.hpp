#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_EXCHANGE_END_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_EXCHANGE_END_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <optional>

namespace flamingoroute::internal {

/// Result of one exchange on a connection.
struct exchange_end {
    std::optional<caller_answer> answer; ///< the complete answer with all its headers
    error failure; ///< set if there is no complete answer
    bool hasSent = false; ///< at least one byte of the request was sent
    bool isUnresponsive = false; ///< no byte was received before the timeout
    bool isReusable = false; ///< the connection may carry another exchange
};

} // namespace flamingoroute::internal

#endif
