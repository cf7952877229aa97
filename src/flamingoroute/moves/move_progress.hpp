#ifndef FLAMINGOROUTE_MOVES_MOVE_PROGRESS_HPP
#define FLAMINGOROUTE_MOVES_MOVE_PROGRESS_HPP

#include "flamingoroute/model/configuration.hpp"

namespace flamingoroute {

/// Writes the next state of a move into a configuration. A move that is done at 100% makes its new version the
/// service's current one in the same revision, and one that is undone restores the old version.
/// @return the configuration to publish, with the revision of @p current
configuration withMove(configuration current, const version_move& next);

/// An operator publishes moves without progress; a move whose name, service, versions and start are unchanged keeps the
/// progress of the active configuration.
/// @param requested the configuration that the operator publishes
/// @param current the active configuration
/// @return @p requested with the progress of @p current
configuration withProgress(configuration requested, const configuration& current);

} // namespace flamingoroute

#endif
