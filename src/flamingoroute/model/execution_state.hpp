#ifndef FLAMINGOROUTE_MODEL_EXECUTION_STATE_HPP
#define FLAMINGOROUTE_MODEL_EXECUTION_STATE_HPP

namespace flamingoroute {

/// Whether an upstream ran a request, as far as is known.
enum class execution_state {
    ran,
    not_run,
    unknown,
};

/// @return the value of the Flamingo-Execution header: "ran", "not-run" or "unknown"
inline const char* toString(execution_state state)
{
    switch (state) {
    case execution_state::ran:
        return "ran";
    case execution_state::not_run:
        return "not-run";
    case execution_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace flamingoroute

#endif
