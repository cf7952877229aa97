#ifndef FLAMINGOROUTE_STEERING_INTERNAL_SERVICE_SET_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_SERVICE_SET_HPP

#include "flamingoroute/steering/internal/upstream_ring.hpp"
#include "flamingoroute/steering/request_queue.hpp"

#include <array>
#include <vector>

namespace flamingoroute {

/// What an instance knows of one version of a service: where it runs, who waits for it and what it costs.
struct service_set {
    explicit service_set(const steering_settings& settings)
        : queue(settings)
    {
    }

    std::vector<upstream_ring> rings;
    request_queue queue;
    double serviceMs = 0; ///< running average; zero while unknown
    std::array<double, 2> answerBytes { 4096, 4096 }; ///< running average, by request class

    void noteAnswer(request_class kind, double tookMs, double bytes)
    {
        constexpr double smoothing = 0.1;
        serviceMs = serviceMs == 0 ? tookMs : serviceMs + smoothing * (tookMs - serviceMs);
        auto& average = answerBytes[static_cast<std::size_t>(kind)];
        average += smoothing * (bytes - average);
    }

    double bytesOf(const upstream_requirements& wish) const
    {
        return static_cast<double>(wish.requestBytes) + answerBytes[static_cast<std::size_t>(wish.requestClass)];
    }
};

} // namespace flamingoroute

#endif
