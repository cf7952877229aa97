#include "flamingoroute/fleet/message_forwarder.hpp"

#include "flamingoroute/fleet/fleet_members.hpp"
#include "flamingoroute/fleet/forwarded_message.hpp"

namespace flamingoroute {

message_forwarder::message_forwarder(const fleet_members& members, plain_hook sendPlain, forwarded_hook sendForwarded)
    : m_members(members)
    , m_sendPlain(std::move(sendPlain))
    , m_sendForwarded(std::move(sendForwarded))
{
}

void message_forwarder::sendToRegion(std::uint8_t kind, const std::string& body, monotonic_time now)
{
    forwarded_message message;
    message.hopsLeft = maxForwardHops;
    message.turn = ++m_turn;
    message.kind = kind;
    message.body = body;
    const auto branches = branchesFor(m_members.regionReceivers(now), m_members.self().failureDomain, message.turn);
    sendCopies(branches, std::move(message));
}

void message_forwarder::forward(const forwarded_message& message, const instance_id& from, monotonic_time now)
{
    if (message.hopsLeft == 0)
        return;
    auto receivers = receiversIn(m_members.regionReceivers(now), message.range);
    std::erase_if(receivers, [&](const auto& receiver) { return receiver.memberInfo.instance == from; });
    auto copy = message;
    --copy.hopsLeft;
    sendCopies(branchesFor(std::move(receivers), m_members.self().failureDomain, message.turn), std::move(copy));
}

void message_forwarder::sendCopies(const std::vector<forward_branch>& branches, forwarded_message message)
{
    for (const auto& branch : branches) {
        if (!branch.rest) {
            m_sendPlain(branch.to, message.kind, message.body);
            continue;
        }
        message.range = *branch.rest;
        m_sendForwarded(branch.to, message);
    }
}

} // namespace flamingoroute
