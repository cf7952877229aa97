#ifndef FLAMINGOROUTE_MOVES_MOVE_PROGRESS_HPP
#define FLAMINGOROUTE_MOVES_MOVE_PROGRESS_HPP

#include "flamingoroute/model/configuration.hpp"

namespace flamingoroute {

/// Puts the next state of a move into a configuration. A move that is done at 100% makes its new version the service's
/// current one in the same step, and one that is undone gives the service back to its old version.
/// @return the configuration to publish, with the revision of @p current
configuration withMove(configuration current, const version_move& next);

/// An operator's set holds wishes only; the progress of a move whose wish stands is kept from the set in force.
/// @param wanted what the operator publishes
/// @param current what is in force
/// @return @p wanted with the progress of @p current
configuration withProgress(configuration wanted, const configuration& current);

} // namespace flamingoroute

#endif
