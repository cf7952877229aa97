#ifndef FLAMINGOROUTE_PEERS_ENVELOPE_CODEC_HPP
#define FLAMINGOROUTE_PEERS_ENVELOPE_CODEC_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// @return @p message as msgpack
std::string encodeEnvelope(const envelope& message);

/// @param bytes a received message
/// @return the message, or `invalid_input`
tl::expected<envelope, error> decodeEnvelope(const std::string& bytes);

} // namespace flamingoroute

#endif
