#ifndef FLAMINGOROUTE_CONFIG_CONFIG_MESSAGES_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_MESSAGES_HPP

#include "flamingoroute/config/config_position.hpp"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// Body of `config_offer`: the position of the sender's active configuration.
struct config_offer {
    config_position position;
    bool isReplyRequested = false; ///< the receiver replies with its own offer if its position differs and is
                                   ///< not of a lower revision

    bool operator==(const config_offer&) const = default;
    MSGPACK_DEFINE(position, isReplyRequested)
};

/// Body of `head_request`: requests the head with this hash.
struct head_request {
    std::string hash;

    bool operator==(const head_request&) const = default;
    MSGPACK_DEFINE(hash)
};

/// Body of `chunk_request`: requests chunks by hash.
struct chunk_request {
    std::vector<std::string> hashes;

    bool operator==(const chunk_request&) const = default;
    MSGPACK_DEFINE(hashes)
};

/// Body of `chunk_reply`: a head or a chunk. The receiver checks the hash, so the sender need not be trusted.
struct chunk_reply {
    std::string hash;
    std::string content;

    bool operator==(const chunk_reply&) const = default;
    MSGPACK_DEFINE(hash, content)
};

} // namespace flamingoroute

#endif
