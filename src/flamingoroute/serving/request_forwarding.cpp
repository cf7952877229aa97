#include "flamingoroute/proxy/exchange_result.hpp"
#include "flamingoroute/serving/attempt_limits.hpp"
#include "flamingoroute/serving/peer_attempt.hpp"
#include "flamingoroute/serving/request_flow.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/serving/upstream_answer.hpp"

#include <algorithm>

/// The part of request_flow that forwards a request to another instance.
namespace flamingoroute {

namespace {

/// Instances that are asked for one request; more than one, because an instance may not know yet that it is
/// partitioned.
constexpr std::size_t maxForwards = 3;

} // namespace

std::vector<member> request_flow::remainingPeers() const
{
    if (m_origin == request_origin::instance || m_forwardedTo.size() >= maxForwards)
        return {};
    auto peers = m_state.members.forwardingPeers(monotonicNow());
    const auto& homes = m_request.query.homeRegions;
    const bool hasBody = !m_exchange->request.body.empty();
    std::erase_if(peers, [&](const member& peer) {
        const bool isTried
            = std::find(m_forwardedTo.begin(), m_forwardedTo.end(), peer.instance) != m_forwardedTo.end();
        // A body must not leave its home regions; the caller may not be in the region of this instance.
        return isTried || (hasBody && homes && !homes->contains(peer.region));
    });
    return peers;
}

bool request_flow::shouldForward() const { return m_state.link.isSuspect() && !remainingPeers().empty(); }

void request_flow::onPartition()
{
    const bool mayForward = m_connection && !m_isDone && m_request.rule->isIdempotent && m_attempts < m_maxAttempts
        && shouldForward() && takeRetry();
    if (!mayForward)
        return;
    cancelAttempt(attempt_verdict::abandoned);
    forward();
}

void request_flow::forward()
{
    const auto timeLeft = m_request.deadline - monotonicNow();
    const auto peers = timeLeft < minAttemptTime ? std::vector<member> {} : remainingPeers();
    if (peers.empty()) {
        finishWithoutSuccess(outcomeUnknown, { 503, "no_reachable_upstream", retryAfterWithoutUpstream });
        return;
    }
    const auto& peer = peers[m_request.query.requestHash % peers.size()];
    m_forwardedTo.push_back(peer.instance);
    m_peerAttempt = std::make_unique<peer_attempt>(m_state, peer);
    m_peerAttempt->send(forwardedRequest(m_state, m_exchange->request, timeLeft, m_maxAttempts - m_attempts),
        [self = shared_from_this()](const exchange_result& result) { self->onForwarded(result); });
}

void request_flow::onForwarded(const exchange_result& result)
{
    m_peerAttempt.reset();
    if (m_isDone)
        return;
    const bool isAnswered = result.outcome == attempt_outcome::answered;
    if (!isAnswered && !isDefinitelyNotRun(result.outcome)) {
        m_mayHaveRun = true;
        if (m_request.rule->isIdempotent && takeRetry())
            forward();
        else
            finishWithoutSuccess(outcomeUnknown, outcomeUnknown);
        return;
    }
    if (!isAnswered || isNotForwarded(result.answer)) {
        forward();
        return;
    }
    if (m_mayHaveRun && impliesNotRun(result.answer.status))
        refuse(outcomeUnknown);
    else
        finish(result.answer, "forwarded");
}

} // namespace flamingoroute
