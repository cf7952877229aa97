#ifndef FLAMINGOROUTE_LIMITS_MESSAGE_BATCHES_HPP
#define FLAMINGOROUTE_LIMITS_MESSAGE_BATCHES_HPP

#include "flamingoroute/limits/limit_message.hpp"
#include "flamingoroute/peers/message_sender.hpp"

#include <vector>

namespace flamingoroute {

/// Sends @p messages, all of one kind to the same process in one message. The bodies on the wire are arrays of
/// share_request, share_grant, share_assignment (share_table) and usage_report, and one lease_notice.
void sendBatches(const std::vector<limit_message>& messages, const message_sender& send);

} // namespace flamingoroute

#endif
