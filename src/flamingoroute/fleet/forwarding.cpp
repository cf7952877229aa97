#include "flamingoroute/fleet/forwarding.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace flamingoroute {

namespace {

using receiver_list = std::vector<forward_receiver>;

/// In a smaller group, the instance that forwards is often the same, also after it has ended.
constexpr std::size_t minGroupSize = 3;

void sortByName(receiver_list& receivers)
{
    std::sort(receivers.begin(), receivers.end(),
        [](const auto& left, const auto& right) { return left.memberInfo.instance < right.memberInfo.instance; });
}

void addDirect(std::vector<forward_branch>& branches, const receiver_list& receivers)
{
    for (const auto& receiver : receivers)
        branches.push_back({ receiver.memberInfo.entryAddress, std::nullopt });
}

/// Adds one copy to an instance that forwards it to the others; if none is known to serve, a copy for each.
/// @param group sorted by name, not empty
void addGroup(std::vector<forward_branch>& branches, const receiver_list& group, std::uint32_t turn)
{
    receiver_list reachable;
    std::copy_if(group.begin(), group.end(), std::back_inserter(reachable),
        [](const auto& receiver) { return receiver.isReachable; });
    if (group.size() == 1 || reachable.empty()) {
        addDirect(branches, group);
        return;
    }
    const auto& first = group.front().memberInfo;
    const member_range range { first.failureDomain.value(), first.instance.value(),
        group.back().memberInfo.instance.value() };
    branches.push_back({ reachable[turn % reachable.size()].memberInfo.entryAddress, range });
}

/// @param receivers of the sender's failure domain, sorted by name
void addLocalBranches(std::vector<forward_branch>& branches, const receiver_list& receivers, std::uint32_t turn)
{
    if (receivers.size() <= maxForwardCopies) {
        addDirect(branches, receivers);
        return;
    }
    const std::size_t groups = std::min(maxForwardCopies, receivers.size() / minGroupSize);
    for (std::size_t group = 0; group < groups; ++group) {
        const auto start = receivers.begin() + static_cast<std::ptrdiff_t>(group * receivers.size() / groups);
        const auto end = receivers.begin() + static_cast<std::ptrdiff_t>((group + 1) * receivers.size() / groups);
        addGroup(branches, receiver_list(start, end), turn);
    }
}

} // namespace

std::vector<forward_branch> branchesFor(
    receiver_list receivers, const failure_domain_id& localDomain, std::uint32_t turn)
{
    sortByName(receivers);
    std::map<failure_domain_id, receiver_list> byDomain;
    for (auto& receiver : receivers) {
        auto& list = byDomain[receiver.memberInfo.failureDomain];
        list.push_back(std::move(receiver));
    }
    std::vector<forward_branch> branches;
    for (const auto& [domain, list] : byDomain) {
        if (domain == localDomain)
            addLocalBranches(branches, list, turn);
        else
            addGroup(branches, list, turn);
    }
    return branches;
}

std::vector<forward_receiver> receiversIn(receiver_list receivers, const member_range& range)
{
    std::erase_if(receivers, [&](const auto& receiver) {
        const auto& name = receiver.memberInfo.instance.value();
        return receiver.memberInfo.failureDomain.value() != range.failureDomain || name < range.first
            || name > range.last;
    });
    return receivers;
}

} // namespace flamingoroute
