#include "flamingoroute/runtime/burn_collector.hpp"

#include "flamingoroute/peers/message_body.hpp"

namespace flamingoroute {

void burn_collector::update(const envelope& message)
{
    auto usage = unpackMessage<burn_usage>(message.body);
    if (!usage)
        return;
    const std::lock_guard lock(m_mutex);
    m_usage[message.from] = std::move(*usage);
}

burn_report burn_collector::report(const configuration& current, const std::vector<member_status>& members) const
{
    std::map<instance_id, failure_domain_id> known;
    for (const auto& each : members) {
        if (each.state != member_state::gone)
            known[each.memberInfo.instance] = each.memberInfo.failureDomain;
    }
    const std::lock_guard lock(m_mutex);
    return makeBurnReport(current, m_usage, known);
}

} // namespace flamingoroute
