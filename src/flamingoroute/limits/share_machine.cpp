#include "flamingoroute/limits/share_machine.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr milliseconds fastDemandWindow { 200 };
constexpr milliseconds slowDemandWindow { 5000 };
constexpr std::size_t maxRememberedReports = 8;
/// A reachable pool responds within a few network delays; after this time, waiting requests can still borrow in time.
constexpr milliseconds poolResponseTimeout { 100 };
constexpr milliseconds minRetryAfter { 100 };
constexpr milliseconds maxRetryAfter { 10000 };

} // namespace

share_machine::share_machine(customer_id customer, instance_id localInstance, incarnation localIncarnation,
    const limit_settings& settings, monotonic_time now)
    : m_customer(std::move(customer))
    , m_localInstance(std::move(localInstance))
    , m_incarnation(localIncarnation)
    , m_settings(settings)
    , m_receivedGrants(settings, localIncarnation, now)
    , m_borrowed(settings, localIncarnation, now)
    , m_pool(settings)
    , m_demand(fastDemandWindow)
    , m_slowDemand(slowDemandWindow)
    , m_reportSequence(static_cast<std::uint64_t>(now.time_since_epoch().count()))
    , m_lastTokenRequest(now)
{
    m_floor.restart(now);
}

admission share_machine::requestToken(monotonic_time now, std::uint64_t request, monotonic_time deadline)
{
    m_lastTokenRequest = now;
    m_demand.record(now);
    m_slowDemand.record(now);
    if (m_waiting.empty() && tryTakeToken(now))
        return admission::admitted;
    if (m_waiting.size() >= m_settings.maxWaiting || deadline <= now)
        return admission::refused;
    const bool isCold = m_poolInstance.empty() && !m_pool.isKnown();
    const auto wait = isCold ? m_settings.maxColdWait : m_settings.maxWait;
    m_waiting.push_back({ request, std::min(deadline, now + wait) });
    requestGrant(now);
    borrow(now);
    if (isCold)
        report(now);
    return admission::waiting;
}

void share_machine::cancel(std::uint64_t request)
{
    std::erase_if(m_waiting, [request](const waiting_request& waiting) { return waiting.id == request; });
}

bool share_machine::tryTakeFloor(monotonic_time now, int keep)
{
    if (!isFloorValid(now))
        return false;
    advanceFloor(now);
    return m_floor.level() >= keep + 1 && m_floor.tryTake(1);
}

bool share_machine::tryTakeToken(monotonic_time now)
{
    // A full floor gains no tokens, so it is spent first; otherwise tokens that expire are spent first.
    if (tryTakeFloor(now, std::max(0, m_floor.currentShare().depth - 1)))
        return true;
    if (m_borrowed.trySpend(now) || m_receivedGrants.trySpend(now) || m_pool.tryTakeLocal(now))
        return true;
    return tryTakeFloor(now, 0);
}

void share_machine::refuseExpired(monotonic_time now)
{
    // Waits differ in length, so a later one may end first.
    std::erase_if(m_waiting, [this, now](const waiting_request& waiting) {
        const bool isLate = waiting.until <= now;
        if (isLate)
            m_decisions.push_back({ waiting.id, false });
        return isLate;
    });
}

void share_machine::serveWaiting(monotonic_time now)
{
    refuseExpired(now);
    while (!m_waiting.empty()) {
        const auto first = m_waiting.front();
        if (!tryTakeToken(now))
            return;
        m_waiting.pop_front();
        m_decisions.push_back({ first.id, true });
    }
}

void share_machine::servePool(monotonic_time now)
{
    int localTokens = 0;
    for (auto& [to, grant] : m_pool.distribute(now, static_cast<int>(m_waiting.size()), localTokens))
        send(to, process_role::entry, std::move(grant));
    for (; localTokens > 0; --localTokens) {
        m_decisions.push_back({ m_waiting.front().id, true });
        m_waiting.pop_front();
    }
}

void share_machine::onGrant(monotonic_time now, const share_grant& grant)
{
    const bool isLoan = grant.epoch == 0;
    auto& receivedGrants = isLoan ? m_borrowed : m_receivedGrants;
    if (!receivedGrants.accept(now, grant))
        return;
    if (!isLoan)
        m_waitingSince = {};
    serveWaiting(now);
}

void share_machine::onRequest(monotonic_time now, const instance_id& from, const share_request& request)
{
    if (request.epoch == 0) {
        lend(now, from, request);
        return;
    }
    m_pool.onRequest(now, from, request);
    serveWaiting(now);
    servePool(now);
}

void share_machine::onLease(monotonic_time now, const pool_lease& lease)
{
    if (lease.holderIncarnation != m_incarnation)
        return;
    const bool isNew = lease.tableVersion > m_pool.tableVersion();
    m_pool.applyLease(now, lease);
    m_isReportUrgent = m_isReportUrgent || isNew;
    if (lease.epoch > m_receivedGrants.epoch()) {
        m_receivedGrants.changeEpoch(lease.epoch);
        m_poolInstance = m_localInstance;
    }
}

void share_machine::onAssignment(monotonic_time now, const share_assignment& assignment)
{
    if (assignment.epoch > m_receivedGrants.epoch()
        || (assignment.epoch == m_receivedGrants.epoch() && m_poolInstance.empty())) {
        m_receivedGrants.changeEpoch(assignment.epoch);
        m_poolInstance = instance_id(assignment.poolInstance);
        m_waitingSince = {};
        m_isReportUrgent = assignment.poolInstance != m_localInstance.value();
        requestGrant(now);
    }
    if (assignment.isFromAllocator && assignment.tableVersion >= m_tableVersion)
        applyFloor(now, assignment);
}

void share_machine::applyFloor(monotonic_time now, const share_assignment& assignment)
{
    const bool isMine = assignment.floorIncarnation == m_incarnation;
    const share target = isMine ? assignment.floor : share {};
    const auto answered = std::find_if(m_reports.begin(), m_reports.end(),
        [&](const sent_report& sent) { return sent.sequence == assignment.reportSequence; });
    const share current = isFloorValid(now) ? m_floor.currentShare() : share {};
    const bool isLower = target.perSecond <= current.perSecond && target.depth <= current.depth;
    // Only an answer to a report of this share machine may raise the floor: an old assignment may be meant for a share
    // machine that has been removed.
    if (answered == m_reports.end() && !isLower)
        return;
    // Tokens lent out of the floor may still be spent; the allocator sends a lowered floor again.
    if (isLower && target != current && lentTokens(now) > 0)
        return;
    if (!isFloorValid(now))
        m_floor.restart(now);
    m_floor.setShare(now, target, lentTokens(now));
    if (answered != m_reports.end())
        m_floorValidUntil = std::max(m_floorValidUntil, answered->sentAt + m_settings.floorLifetime);
    m_isReportUrgent = m_isReportUrgent || assignment.tableVersion > m_tableVersion;
    m_tableVersion = assignment.tableVersion;
    serveWaiting(now);
}

void share_machine::requestGrant(monotonic_time now)
{
    if (m_poolInstance.empty() || m_poolInstance == m_localInstance
        || m_lastGrantRequest + m_settings.requestInterval > now)
        return;
    const std::chrono::duration<double> lookahead = m_settings.lookahead;
    const int expected = static_cast<int>(std::ceil(m_demand.perSecond(now) * lookahead.count() - 0.5));
    const int floorTokens = isFloorValid(now) ? m_floor.available() : 0;
    const int waiting = static_cast<int>(m_waiting.size());
    const int predicted = std::max(0, expected - m_receivedGrants.available(now) - floorTokens);
    const bool isSettleDue = m_receivedGrants.hasUnreported() && m_lastGrantRequest + m_settings.settleInterval <= now;
    if (waiting == 0 && predicted == 0 && !isSettleDue)
        return;
    m_lastGrantRequest = now;
    if (waiting > 0 && m_waitingSince == monotonic_time {})
        m_waitingSince = now;
    auto request = m_receivedGrants.makeRequest(now, waiting, predicted);
    request.customer = m_customer.value();
    send(m_poolInstance, process_role::entry, std::move(request));
}

bool share_machine::isPoolReachable(monotonic_time now) const
{
    if (m_poolInstance.empty())
        return false;
    if (m_poolInstance == m_localInstance)
        return isPoolHeldHere(now);
    return m_waitingSince == monotonic_time {} || m_waitingSince + poolResponseTimeout > now;
}

void share_machine::borrow(monotonic_time now)
{
    const bool isDue = m_lastBorrow + m_settings.requestInterval <= now;
    if (m_waiting.empty() || !isDue || isPoolReachable(now))
        return;
    m_lastBorrow = now;
    auto request = m_borrowed.makeRequest(now, static_cast<int>(m_waiting.size()), 0);
    request.customer = m_customer.value();
    send(instance_id {}, process_role::entry, std::move(request));
}

void share_machine::lend(monotonic_time now, const instance_id& to, const share_request& request)
{
    const auto life = m_settings.grantLifetime + m_settings.maxClockDrift;
    if (!m_waiting.empty() || now + life >= m_floorValidUntil)
        return;
    advanceFloor(now);
    // Half of the available tokens, rounded down, stay for the requests of this instance.
    const int tokens = std::min(request.waiting, (m_floor.available() + 1) / 2);
    if (tokens <= 0 || !m_floor.tryTake(tokens))
        return;
    m_lent.push_back({ tokens, now + life });
    send(to, process_role::entry,
        share_grant { m_customer.value(), 0, request.senderIncarnation, request.sequence, request.sequence, tokens });
}

int share_machine::lentTokens(monotonic_time now)
{
    while (!m_lent.empty() && m_lent.front().expiresAt <= now)
        m_lent.pop_front();
    int sum = 0;
    for (const auto& loan : m_lent)
        sum += loan.tokens;
    return sum;
}

void share_machine::advanceFloor(monotonic_time now) { m_floor.advance(now, lentTokens(now)); }

void share_machine::report(monotonic_time now)
{
    const bool isDue = m_lastReport + m_settings.reportInterval <= now;
    if (!isDue && !(m_isReportUrgent && m_lastReport + m_settings.requestInterval <= now))
        return;
    usage_report usage;
    usage.customer = m_customer.value();
    usage.senderIncarnation = m_incarnation;
    usage.sequence = ++m_reportSequence;
    usage.tableVersion = m_tableVersion;
    usage.floor = isFloorValid(now) ? m_floor.currentShare() : share {};
    if (m_pool.isKnown()) {
        usage.poolEpoch = m_pool.epoch();
        usage.poolVersion = m_pool.tableVersion();
        usage.pool = m_pool.shareInUse(now);
    }
    usage.demandPerSecond = m_lastTokenRequest + m_settings.idleTimeout < now ? 0 : m_slowDemand.perSecond(now);
    const bool hasWaitedLong
        = m_waitingSince != monotonic_time {} && m_waitingSince + m_settings.readRetryInterval <= now;
    usage.isPoolUnresponsive = hasWaitedLong || (m_poolInstance == m_localInstance && !m_pool.isActive(now));
    m_reports.push_back({ usage.sequence, now });
    if (m_reports.size() > maxRememberedReports)
        m_reports.pop_front();
    if (m_poolInstance.empty() || usage.isPoolUnresponsive || m_poolInstance == m_localInstance)
        send(m_localInstance, process_role::control, usage);
    if (!m_poolInstance.empty() && m_poolInstance != m_localInstance)
        send(m_poolInstance, process_role::control, usage);
    m_lastReport = now;
    m_isReportUrgent = false;
}

void share_machine::tick(monotonic_time now)
{
    advanceFloor(now);
    serveWaiting(now);
    servePool(now);
    requestGrant(now);
    borrow(now);
    report(now);
}

void share_machine::send(const instance_id& to, process_role role, decltype(limit_message::body) body)
{
    m_messages.push_back({ to, role, std::move(body) });
}

std::vector<limit_message> share_machine::takeMessages() { return std::exchange(m_messages, {}); }

std::vector<admission_decision> share_machine::takeDecisions() { return std::exchange(m_decisions, {}); }

milliseconds share_machine::retryAfter(monotonic_time now)
{
    advanceFloor(now);
    const auto own = std::min(m_floor.untilNextToken(), m_pool.untilNextToken());
    return std::clamp(own, minRetryAfter, maxRetryAfter);
}

bool share_machine::isRemovable(monotonic_time now)
{
    return m_lastTokenRequest + m_settings.idleTimeout < now && m_waiting.empty() && !hasFloor(now)
        && !m_pool.isActive(now) && m_receivedGrants.available(now) == 0 && lentTokens(now) == 0;
}

share share_machine::shareInUse(monotonic_time now)
{
    share sum = isFloorValid(now) ? m_floor.currentShare() : share {};
    if (m_pool.isActive(now)) {
        const auto pool = m_pool.shareInUse(now);
        sum.perSecond += pool.perSecond;
        sum.depth += pool.depth;
    }
    return sum;
}

usage_report reportWithoutShares(const share_assignment& assignment, incarnation localIncarnation)
{
    usage_report usage;
    usage.customer = assignment.customer;
    usage.senderIncarnation = localIncarnation;
    usage.tableVersion = assignment.tableVersion;
    return usage;
}

} // namespace flamingoroute
