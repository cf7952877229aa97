#ifndef FLAMINGOROUTE_REPORT_OBJECTIVE_COUNTS_HPP
#define FLAMINGOROUTE_REPORT_OBJECTIVE_COUNTS_HPP

#include <cstdint>

#include <msgpack.hpp>

namespace flamingoroute {

/// Requests of one customer at one service, classified by the objective that applies to them.
struct objective_counts {
    std::uint64_t requests = 0; ///< without those above the customer's rate and those refused for a fault of the caller
    std::uint64_t late = 0; ///< answered, but not within the objective's latency
    std::uint64_t failed = 0; ///< answered with an error (status 500 or above), or refused although it may have run
    std::uint64_t refused = 0; ///< refused without having run, although within the customer's rate

    std::uint64_t bad() const { return late + failed + refused; }

    objective_counts& operator+=(const objective_counts& more)
    {
        requests += more.requests;
        late += more.late;
        failed += more.failed;
        refused += more.refused;
        return *this;
    }

    bool operator==(const objective_counts&) const = default;
    MSGPACK_DEFINE(requests, late, failed, refused)
};

} // namespace flamingoroute

#endif
