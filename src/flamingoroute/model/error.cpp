#include "flamingoroute/model/error.hpp"

namespace flamingoroute {

const char* toString(error_code code)
{
    switch (code) {
    case error_code::invalid_input:
        return "invalid_input";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::expired:
        return "expired";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::outcome_unknown:
        return "outcome_unknown";
    case error_code::unauthorized:
        return "unauthorized";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const error& failure)
{
    std::string line = toString(failure.code);
    line += " step=" + failure.step;
    if (!failure.peer.empty())
        line += " peer=" + failure.peer;
    return line + ": " + failure.detail;
}

} // namespace flamingoroute
