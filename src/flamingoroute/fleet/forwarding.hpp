#ifndef FLAMINGOROUTE_FLEET_FORWARDING_HPP
#define FLAMINGOROUTE_FLEET_FORWARDING_HPP

#include "flamingoroute/fleet/member_range.hpp"
#include "flamingoroute/model/member.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingoroute {

/// An instance that should get a message.
struct forward_receiver {
    member memberInfo;
    bool isReachable = false; ///< known to serve, so that it can forward

    bool operator==(const forward_receiver&) const = default;
};

/// One copy of a message.
struct forward_branch {
    endpoint to;
    std::optional<member_range> rest; ///< the instances that the receiver forwards the message to; empty: none

    bool operator==(const forward_branch&) const = default;
};

/// Copies of a message that one instance sends within its failure domain.
inline constexpr std::size_t maxForwardCopies = 6;
/// One to reach a failure domain, and enough for maxForwardCopies^3 instances there.
inline constexpr std::uint8_t maxForwardHops = 4;

/// Splits the receivers of a message among instances that forward it, so that no instance sends many copies and each
/// other failure domain gets one. A forwarding instance that has terminated keeps its branch from the message; since
/// @p turn picks others the next time, a receiver rarely misses two messages in a row. Pure: no I/O, clocks or threads.
/// @param receivers without the sender, in any order
/// @param localDomain of the sender
/// @param turn another number for each message
std::vector<forward_branch> branchesFor(
    std::vector<forward_receiver> receivers, const failure_domain_id& localDomain, std::uint32_t turn);

/// @return those of @p receivers that are in @p range
std::vector<forward_receiver> receiversIn(std::vector<forward_receiver> receivers, const member_range& range);

} // namespace flamingoroute

#endif
