#include "flamingoroute/peers/envelope_codec.hpp"

#include "flamingoroute/peers/message_body.hpp"

namespace flamingoroute {

namespace {

struct wire_envelope {
    std::string from;
    std::uint8_t role = 0;
    std::uint64_t fromIncarnation = 0;
    std::uint64_t sequence = 0;
    std::uint8_t kind = 0;
    std::string body;
    MSGPACK_DEFINE(from, role, fromIncarnation, sequence, kind, body)
};

} // namespace

std::string encodeEnvelope(const envelope& message)
{
    wire_envelope wire;
    wire.from = message.from.value();
    wire.role = static_cast<std::uint8_t>(message.role);
    wire.fromIncarnation = message.fromIncarnation;
    wire.sequence = message.sequence;
    wire.kind = static_cast<std::uint8_t>(message.kind);
    wire.body = message.body;
    return packMessage(wire);
}

tl::expected<envelope, error> decodeEnvelope(const std::string& bytes)
{
    const auto wire = unpackMessage<wire_envelope>(bytes);
    if (!wire)
        return tl::unexpected(wire.error());
    if (wire->from.empty() || wire->role > static_cast<std::uint8_t>(process_role::control))
        return tl::unexpected(error {
            error_code::invalid_input, "peers.decode", wire->from, "sender name missing or process role unknown" });
    envelope message;
    message.from = instance_id(wire->from);
    message.role = static_cast<process_role>(wire->role);
    message.fromIncarnation = wire->fromIncarnation;
    message.sequence = wire->sequence;
    // Not checked: message_router has an entry for each possible number and drops kinds without a handler.
    message.kind = static_cast<message_kind>(wire->kind);
    message.body = wire->body;
    return message;
}

} // namespace flamingoroute
