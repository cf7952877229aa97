#ifndef FLAMINGOROUTE_REQUESTS_ATTEMPT_OUTCOME_HPP
#define FLAMINGOROUTE_REQUESTS_ATTEMPT_OUTCOME_HPP

namespace flamingoroute {

/// Outcome of one attempt to send a request to an upstream.
enum class attempt_outcome {
    not_sent, ///< no byte of the request was sent to the upstream's application
    refused, ///< the upstream reported that it did not run the request
    unknown, ///< the request may have run
    answered, ///< a complete answer was received
};

/// @return the standard name, for example "not_sent"
inline const char* toString(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::unknown:
        return "unknown";
    case attempt_outcome::answered:
        return "answered";
    }
    return "unknown";
}

/// @return whether an attempt with this outcome guarantees that the request did not run
inline bool isDefinitelyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_sent || outcome == attempt_outcome::refused;
}

} // namespace flamingoroute

#endif
