#ifndef FLAMINGOROUTE_LIMITS_LIMIT_SETTINGS_HPP
#define FLAMINGOROUTE_LIMITS_LIMIT_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// What operators can set about rates and bursts. The same on all instances.
struct limit_settings {
    milliseconds grantLife { 500 }; ///< a grant is void this long after its request was sent
    milliseconds grantFlight { 150 }; ///< a grant not seen to arrive by then is taken for lost
    milliseconds clockDrift { 50 }; ///< two clocks differ by at most this over any of the times here
    milliseconds maxWait { 250 }; ///< longest wait of a request for a token
    milliseconds coldWait { 1000 }; ///< the same, while the pool is not yet known here
    std::size_t maxWaiting = 1000; ///< requests of one customer that wait at one instance
    milliseconds requestInterval { 20 }; ///< between two requests for tokens to one pool
    milliseconds settleInterval { 100 }; ///< between two reports of spent grants, if no tokens are needed
    milliseconds lookahead { 100 }; ///< predicted demand that the stock of grants covers
    milliseconds reportInterval { 1000 }; ///< between two usage reports of a customer
    milliseconds idleAfter { 10000 }; ///< a customer without requests for this long is forgotten
    milliseconds floorHold { 1800000 }; ///< a floor is void this long after its holder last heard the allocator
    milliseconds promiseHold { 2000 }; ///< a successor leaves the pool to its holder for this long
    milliseconds promiseInterval { 500 }; ///< between two pings of a holder to a successor
    milliseconds abandonedHold { 1800000 }; ///< anyone may take a table that nobody has written for this long
    milliseconds renewInterval { 300000 }; ///< between two renewals of a table that does not change
    milliseconds resplitInterval { 5000 }; ///< between two plans of floors by demand
    milliseconds retryRead { 1000 }; ///< between two reads of a table whose pool does not answer
    bool isStandingBy = false; ///< instances without a customer's requests keep a floor for it, too: for small fleets
    double floorFraction = 0.2; ///< part of rate and burst that is split into floors

    bool operator==(const limit_settings&) const = default;
};

} // namespace flamingoroute

#endif
