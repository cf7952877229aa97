#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FREE_PORT_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FREE_PORT_HPP

#include "flamingoroute/model/endpoint.hpp"

namespace flamingoroute::testing {

/// @return a loopback address whose port nobody listens on; each call gives another one.
/// Ports lie below the range that the system gives to outgoing connections.
endpoint freeLoopbackEndpoint();

} // namespace flamingoroute::testing

#endif
