#ifndef FLAMINGOROUTE_STEERING_INTERNAL_VERSION_STATE_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_VERSION_STATE_HPP

#include "flamingoroute/steering/internal/locality_tier.hpp"
#include "flamingoroute/steering/request_queue.hpp"

#include <array>
#include <vector>

namespace flamingoroute {

/// The state of one service version on this instance: its upstreams, its queue and the averages of its answers.
struct version_state {
    explicit version_state(const steering_settings& settings)
        : queue(settings)
    {
    }

    std::vector<locality_tier> tiers;
    request_queue queue;
    double serviceMs = 0; ///< running average of the answer time; zero while unknown
    std::array<double, 2> answerBytes { 4096, 4096 }; ///< running average of the answer size, by request class

    void recordAnswer(request_class kind, double tookMs, double bytes)
    {
        constexpr double smoothing = 0.1;
        serviceMs = serviceMs == 0 ? tookMs : serviceMs + smoothing * (tookMs - serviceMs);
        auto& average = answerBytes[static_cast<std::size_t>(kind)];
        average += smoothing * (bytes - average);
    }

    double bytesOf(const upstream_requirements& requirements) const
    {
        return static_cast<double>(requirements.requestBytes)
            + answerBytes[static_cast<std::size_t>(requirements.requestClass)];
    }
};

} // namespace flamingoroute

#endif
