#ifndef FLAMINGOROUTE_MOVES_VERSION_VERDICT_HPP
#define FLAMINGOROUTE_MOVES_VERSION_VERDICT_HPP

#include <string>

namespace flamingoroute {

enum class verdict_state {
    undecided,
    good,
    bad,
};

/// The judgement on a new version and its reason.
struct version_verdict {
    verdict_state state = verdict_state::undecided;
    std::string reason; ///< for operators

    bool operator==(const version_verdict&) const = default;
};

} // namespace flamingoroute

#endif
