#ifndef FLAMINGOROUTE_MOVES_VERSION_COMPARISON_HPP
#define FLAMINGOROUTE_MOVES_VERSION_COMPARISON_HPP

namespace flamingoroute {

struct version_tally;

/// Compares a version under roll-out with the other versions of its service, separately for each way to fail: faults of
/// the network break connections to all versions alike and must not hide that a version answers with failures.
/// @return whether the version is certainly worse than the others
bool isVersionBad(const version_tally& counts);

/// @return whether the version is probably worse than the others
bool isVersionDoubtful(const version_tally& counts);

/// @return whether the attempts suffice to rule out that the version is worse than the others, be it by three failures
///         in a hundred attempts. The old upstreams are stopped when a version is completed, so a lack of evidence
///         counts against it.
bool isVersionProven(const version_tally& counts);

/// @return whether the version is proven but for its times, none of which speak against it
bool isVersionUnsuspicious(const version_tally& counts);

} // namespace flamingoroute

#endif
