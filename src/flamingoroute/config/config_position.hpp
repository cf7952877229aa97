#ifndef FLAMINGOROUTE_CONFIG_CONFIG_POSITION_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_POSITION_HPP

#include "flamingoroute/model/ids.hpp"

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// Identifies a published configuration: its revision and the hash of its head. Two positions with the same revision
/// and different hashes are a fault: a platform that was restored from a backup assigned the revision again.
struct config_position {
    revision number = 0; ///< zero: none
    std::string hash;

    bool operator==(const config_position&) const = default;
    MSGPACK_DEFINE(number, hash)
};

} // namespace flamingoroute

#endif
