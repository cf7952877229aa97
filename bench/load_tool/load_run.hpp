#ifndef BENCH_LOAD_TOOL_LOAD_RUN_HPP
#define BENCH_LOAD_TOOL_LOAD_RUN_HPP

#include "load_options.hpp"
#include "load_result.hpp"

namespace flamingoroute::bench {

/// Runs the load with one thread per connection and waits for its end. No request is scheduled after the options'
/// duration.
load_result runLoad(const load_options& options);

} // namespace flamingoroute::bench

#endif
