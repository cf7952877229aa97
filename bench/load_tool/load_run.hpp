#ifndef BENCH_LOAD_TOOL_LOAD_RUN_HPP
#define BENCH_LOAD_TOOL_LOAD_RUN_HPP

#include "load_options.hpp"
#include "load_result.hpp"

namespace flamingoroute::bench {

/// Sends load, one thread a connection, and waits for the end. Bounded by the options' duration.
load_result runLoad(const load_options& options);

} // namespace flamingoroute::bench

#endif
