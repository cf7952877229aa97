#ifndef FLAMINGOROUTE_PEERS_MESSAGE_BODY_HPP
#define FLAMINGOROUTE_PEERS_MESSAGE_BODY_HPP

#include "flamingoroute/model/error.hpp"

#include <msgpack.hpp>
#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// @param body a type with MSGPACK_DEFINE
/// @return @p body as msgpack
template <typename Body> std::string packMessage(const Body& body)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, body);
    return std::string(buffer.data(), buffer.size());
}

/// @param bytes msgpack
/// @return the body, or `invalid_input` if @p bytes are not a @p Body
template <typename Body> tl::expected<Body, error> unpackMessage(const std::string& bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<Body>();
    } catch (const std::exception& problem) {
        return tl::unexpected(error { error_code::invalid_input, "peers.unpack", "", problem.what() });
    }
}

} // namespace flamingoroute

#endif
