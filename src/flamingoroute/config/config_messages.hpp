#ifndef FLAMINGOROUTE_CONFIG_CONFIG_MESSAGES_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_MESSAGES_HPP

#include "flamingoroute/config/config_position.hpp"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// Body of `config_offer`: the position that the sender has in force.
struct config_offer {
    config_position position;
    bool isAnswerWanted = false; ///< the receiver answers with an offer of its own if its position differs

    bool operator==(const config_offer&) const = default;
    MSGPACK_DEFINE(position, isAnswerWanted)
};

/// Body of `head_request`: asks for the head with this hash.
struct head_request {
    std::string hash;

    bool operator==(const head_request&) const = default;
    MSGPACK_DEFINE(hash)
};

/// Body of `chunk_request`: asks for chunks by hash.
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
