#ifndef FLAMINGOROUTE_MOVES_VERSION_COMPARISON_HPP
#define FLAMINGOROUTE_MOVES_VERSION_COMPARISON_HPP

namespace flamingoroute {

struct version_tally;

/// Compares a version under roll-out with the other versions of its service, separately for each way to fail: faults of
/// the network break connections to all versions alike and must not hide that a version answers with failures.
/// @return whether the version is bad
bool isVersionBad(const version_tally& counts);

} // namespace flamingoroute

#endif
