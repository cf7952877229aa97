#ifndef FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_WORLD_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_SCENARIO_SCENARIO_WORLD_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "scenario_command.hpp"
#include "scenario_error.hpp"

#include <tl/expected.hpp>

namespace flamingoroute::testing {

/// A simulation of decision code with fake dependencies, on a virtual clock that starts at 0.
class scenario_world {
public:
    virtual ~scenario_world() = default;

    /// Runs all events due up to and including @p now.
    virtual void advanceTo(microseconds now) = 0;

    /// Runs a command, or checks an expectation.
    /// @return the invalid word, or the expectation that failed
    virtual tl::expected<void, scenario_error> run(const scenario_command& command) = 0;
};

} // namespace flamingoroute::testing

#endif
