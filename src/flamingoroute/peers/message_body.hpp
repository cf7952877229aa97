#ifndef FLAMINGOROUTE_PEERS_MESSAGE_BODY_HPP
#define FLAMINGOROUTE_PEERS_MESSAGE_BODY_HPP

#include "flamingoroute/model/error.hpp"

#include <msgpack.hpp>
#include <tl/expected.hpp>

#include <string>

namespace flamingoroute {

/// @param message a type with MSGPACK_DEFINE
/// @return @p message as msgpack
template <typename Message> std::string packMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string(buffer.data(), buffer.size());
}

/// @param bytes msgpack
/// @return the message, or `invalid_input` if @p bytes are not a @p Message
template <typename Message> tl::expected<Message, error> unpackMessage(const std::string& bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<Message>();
    } catch (const std::exception& problem) {
        return tl::unexpected(error { error_code::invalid_input, "peers.unpack", "", problem.what() });
    }
}

} // namespace flamingoroute

#endif
