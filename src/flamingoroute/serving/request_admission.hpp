#ifndef FLAMINGOROUTE_SERVING_REQUEST_ADMISSION_HPP
#define FLAMINGOROUTE_SERVING_REQUEST_ADMISSION_HPP

#include "flamingoroute/serving/admitted_request.hpp"
#include "flamingoroute/serving/local_refusal.hpp"

#include <optional>
#include <string>

namespace flamingoroute {

struct caller_exchange;
struct serving_state;

/// Decides whether a request may run: checks its form, rule, key, deadline, quarantine and rate.
class request_admission {
public:
    explicit request_admission(serving_state& state);

    /// @param admitted filled in up to the failed check, for the log
    /// @return the refusal; empty if the request may run
    std::optional<local_refusal> admit(const caller_exchange& exchange, admitted_request& admitted) const;

    /// Checks a request that another instance will send to an upstream: all but quarantine and rate, which count there.
    /// @return as admit()
    std::optional<local_refusal> admitForwarded(const caller_exchange& exchange, admitted_request& admitted) const;

    /// Checks what the head alone decides: form, rule, key and deadline. Counts nothing.
    /// @param exchange its body may still be on its way
    /// @return the refusal; empty if the body is worth reading
    std::optional<local_refusal> admitHead(const caller_exchange& exchange, admitted_request& admitted) const;

private:
    std::optional<local_refusal> checkForm(const caller_exchange& exchange, admitted_request& admitted) const;
    std::optional<local_refusal> findRule(const caller_exchange& exchange, admitted_request& admitted) const;
    std::optional<local_refusal> authenticate(const caller_exchange& exchange, admitted_request& admitted) const;
    std::optional<local_refusal> setDeadline(const caller_exchange& exchange, admitted_request& admitted) const;
    std::optional<local_refusal> checkQuarantine(
        const caller_exchange& exchange, const admitted_request& admitted) const;
    std::optional<local_refusal> checkRate(const admitted_request& admitted) const;
    void fillQuery(const caller_exchange& exchange, admitted_request& admitted) const;

    serving_state& m_state;
};

/// @return a hash that is equal for repetitions of the same request on all instances, to find requests that break
/// upstreams repeatedly
std::string fingerprintOf(const caller_exchange& exchange, const admitted_request& admitted);

} // namespace flamingoroute

#endif
