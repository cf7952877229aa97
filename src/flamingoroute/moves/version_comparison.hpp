#ifndef FLAMINGOROUTE_MOVES_VERSION_COMPARISON_HPP
#define FLAMINGOROUTE_MOVES_VERSION_COMPARISON_HPP

namespace flamingoroute {

struct version_tally;

/// Compares a version under roll-out with the other versions of its service, separately for each way to fail: faults of
/// the network break connections to all versions alike and must not hide that a version answers with failures.
/// @return whether the version is bad
bool isVersionBad(const version_tally& counts);

/// @return whether the version looks worse than the others, so that it should not be completed. The old upstreams are
/// stopped when a version is completed, so doubt counts against it.
bool isVersionDoubtful(const version_tally& counts);

} // namespace flamingoroute

#endif
