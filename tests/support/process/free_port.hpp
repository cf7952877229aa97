#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FREE_PORT_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FREE_PORT_HPP

#include "flamingoroute/model/endpoint.hpp"

namespace flamingoroute::testing {

/// @return a loopback address with an unused port; each call returns a different one.
/// Ports are below the system's ephemeral port range, so that outgoing connections do not take them.
endpoint freeLoopbackEndpoint();

/// @return a loopback address with an unused port, whose next port is unused, too
endpoint freeLoopbackRange();

} // namespace flamingoroute::testing

#endif
