#include "flamingoroute/limits/message_batches.hpp"

#include "flamingoroute/limits/lease_notice.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <map>
#include <utility>

namespace flamingoroute {

namespace {

/// All messages to one process.
struct message_batch {
    std::vector<share_request> requests;
    std::vector<share_grant> grants;
    std::vector<share_assignment> assignments;
    std::vector<usage_report> reports;
    lease_notice notice;

    void add(const share_request& body) { requests.push_back(body); }
    void add(const share_grant& body) { grants.push_back(body); }
    void add(const share_assignment& body) { assignments.push_back(body); }
    void add(const usage_report& body) { reports.push_back(body); }
    void add(const pool_lease& body) { notice.pools.push_back(body); }
    void add(const holder_ping& body) { notice.pings.push_back(body); }
};

} // namespace

void sendBatches(const std::vector<limit_message>& messages, const message_sender& send)
{
    std::map<std::pair<instance_id, process_role>, message_batch> batches;
    for (const auto& message : messages) {
        auto& batch = batches[{ message.to, message.role }];
        std::visit([&batch](const auto& body) { batch.add(body); }, message.body);
    }
    for (const auto& [process, batch] : batches) {
        const auto& [to, role] = process;
        if (!batch.requests.empty())
            send(to, role, message_kind::share_request, packMessage(batch.requests));
        if (!batch.grants.empty())
            send(to, role, message_kind::share_grant, packMessage(batch.grants));
        if (!batch.assignments.empty())
            send(to, role, message_kind::share_table, packMessage(batch.assignments));
        if (!batch.reports.empty())
            send(to, role, message_kind::usage_report, packMessage(batch.reports));
        if (batch.notice != lease_notice {})
            send(to, role, message_kind::lease_notice, packMessage(batch.notice));
    }
}

} // namespace flamingoroute
