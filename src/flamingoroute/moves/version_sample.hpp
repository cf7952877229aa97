#ifndef FLAMINGOROUTE_MOVES_VERSION_SAMPLE_HPP
#define FLAMINGOROUTE_MOVES_VERSION_SAMPLE_HPP

namespace flamingoroute {

/// The outcome of one attempt at an upstream, for the verdict on its version.
enum class version_sample {
    good,
    untimed, ///< answered without a failure; how long it took says nothing about the version
    failed, ///< answered with a failure
    slow,
    broken, ///< the connection was lost before the answer, by the upstream or by the network
};

} // namespace flamingoroute

#endif
