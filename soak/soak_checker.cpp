#include "soak/soak_checker.hpp"

#include "soak/soak_parameters.hpp"

#include <algorithm>

namespace flamingoroute::soak {

namespace {

constexpr int maxAttempts = 2;
constexpr int wrongKeyStatus = 401;
constexpr std::size_t bodyBytes = 600;

bool impliesNotRun(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

void removeExpired(std::deque<monotonic_time>& times, monotonic_time now, microseconds window)
{
    while (!times.empty() && now - times.front() >= window)
        times.pop_front();
}

} // namespace

std::string expectedBody(const std::string& id)
{
    std::string body = "answer to " + id + " ";
    body.resize(bodyBytes, '.');
    return body + id;
}

void soak_checker::add(const std::string& what) { m_problems.push_back(what); }

void soak_checker::recordProblem(const std::string& what)
{
    const std::lock_guard lock(m_mutex);
    add(what);
}

bool soak_checker::isStable(const std::string& node, monotonic_time now) const
{
    const auto hasPassed = [&](const std::string& name) {
        const auto known = m_disruptedUntil.find(name);
        return known == m_disruptedUntil.end() || now > known->second + recoveryBound;
    };
    return hasPassed(node) && hasPassed("");
}

void soak_checker::recordSent(const sent_request& request)
{
    const std::lock_guard lock(m_mutex);
    m_requests[request.id].sent = request;
    m_firstAttempts.push_back(request.sentAt);
}

bool soak_checker::recordArrived(const arrived_request& request)
{
    const std::lock_guard lock(m_mutex);
    const auto now = monotonicNow();
    const auto found = m_requests.find(request.id);
    if (found == m_requests.end()) {
        add("an upstream received request " + request.id + ", which no caller sent");
        return false;
    }
    auto& known = found->second;
    ++known.runs;
    if (request.hasKey)
        add("an upstream received the caller's key of request " + request.id);
    if (request.customer != known.sent.customer)
        add("request " + request.id + " of " + known.sent.customer + " ran for " + request.customer);
    if (known.sent.isOrder && known.runs > 1)
        add("order " + request.id + " ran twice");
    if (known.runs > maxAttempts)
        add("request " + request.id + " ran " + std::to_string(known.runs) + " times");
    if (known.status >= 0 && known.sent.isOrder && impliesNotRun(known.status))
        add("order " + request.id + " ran after it was refused with " + std::to_string(known.status));
    const auto leaving = m_leavingSince.find(request.upstream);
    const bool isLate = leaving != m_leavingSince.end() && now - leaving->second > drainBound;
    if (isLate && isStable(known.sent.node, now))
        add("upstream " + request.upstream + " received request " + request.id + " after it had left");
    if (known.runs > 1)
        m_retries.push_back(now);
    removeExpired(m_retries, now, parameters::retryWindow);
    removeExpired(m_firstAttempts, now, 2 * parameters::retryWindow);
    if (static_cast<double>(m_retries.size())
        > parameters::retryRatio * static_cast<double>(m_firstAttempts.size()) + parameters::retrySlack)
        add("too many retries: " + std::to_string(m_retries.size()));
    if (request.customer == parameters::limitedCustomer)
        checkRate(request.customer, now);
    return true;
}

void soak_checker::checkRate(const std::string& customer, monotonic_time now)
{
    m_limitedRuns.push_back(now);
    removeExpired(m_limitedRuns, now, parameters::rateWindow);
    const double window = std::chrono::duration<double>(parameters::rateWindow).count();
    const double allowed
        = (parameters::limitedRate * window + parameters::limitedBurst) * (1 + parameters::rateOvershoot)
        + parameters::rateSlack;
    if (static_cast<double>(m_limitedRuns.size()) > allowed)
        add(customer + " had " + std::to_string(m_limitedRuns.size()) + " requests run in a window, "
            + std::to_string(m_retries.size()) + " retries of all customers in the last ten seconds");
}

void soak_checker::recordReply(const std::string& id, const testing::http_reply& reply)
{
    const std::lock_guard lock(m_mutex);
    ++m_statuses[reply.status];
    auto& known = m_requests.at(id);
    known.status = reply.status;
    checkReply(known, reply);
    checkKey(known, monotonicNow());
}

void soak_checker::checkReply(tracked_request& known, const testing::http_reply& reply)
{
    const auto& id = known.sent.id;
    if (reply.status == 200
        && (reply.body != expectedBody(id) || reply.header("X-Flamingoroute-Response-Signature") != id))
        add("request " + id + " received the answer to another request, or an incomplete answer");
    if (reply.status == 200 && known.runs == 0)
        add("request " + id + " received an answer that no upstream sent");
    if (known.sent.isOrder && impliesNotRun(reply.status) && known.runs > 0)
        add("order " + id + " ran and was refused with " + std::to_string(reply.status));
    if (reply.status == 400 || reply.status == 404)
        add("request " + id + " is valid but was answered with " + std::to_string(reply.status));
    const bool isLost = reply.status == 0 && known.runs > 0 && m_isStopping[known.sent.node];
    if (isLost && isStable(known.sent.node, known.sent.sentAt))
        add("node " + known.sent.node + " stopped without answering request " + id);
}

void soak_checker::checkKey(const tracked_request& known, monotonic_time now)
{
    const auto& sent = known.sent;
    const auto withdrawn = m_withdrawnAt.find(sent.key);
    const bool isWithdrawn = withdrawn != m_withdrawnAt.end();
    const bool wasStable = isStable(sent.node, now) && isStable(sent.node, sent.sentAt);
    const bool isNewKey = now - m_newestKeyAt < configurationBound;
    if (known.status == wrongKeyStatus && !isWithdrawn && !isNewKey && wasStable)
        add("request " + sent.id + " was refused for its key, which is valid");
    if (known.status != 200)
        return;
    if (isWithdrawn && sent.sentAt > withdrawn->second + configurationBound && wasStable)
        add("request " + sent.id + " ran with a key that had been withdrawn");
    auto& newest = m_newestKeys[sent.node];
    if (sent.keyVersion < newest.version && sent.sentAt > newest.acceptedAt)
        add("node " + sent.node + " reverted to an older configuration with request " + sent.id);
    if (sent.keyVersion > newest.version)
        newest = { sent.keyVersion, now };
}

void soak_checker::recordDisruption(const std::string& node, monotonic_time until)
{
    const std::lock_guard lock(m_mutex);
    auto& known = m_disruptedUntil[node];
    known = std::max(known, until);
}

void soak_checker::endDisruption(const std::string& node)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_disruptedUntil.find(node);
    if (known != m_disruptedUntil.end())
        known->second = std::min<monotonic_time>(known->second, monotonicNow());
}

void soak_checker::recordNewProcess(const std::string& node)
{
    const std::lock_guard lock(m_mutex);
    m_newestKeys.erase(node);
    m_isStopping.erase(node);
}

void soak_checker::recordStopping(const std::string& node, bool isStopping)
{
    const std::lock_guard lock(m_mutex);
    m_isStopping[node] = isStopping;
}

void soak_checker::recordLeaving(const std::string& upstream)
{
    const std::lock_guard lock(m_mutex);
    m_leavingSince.try_emplace(upstream, monotonicNow());
}

void soak_checker::recordKeyWithdrawn(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_newestKeyAt = monotonicNow();
    m_withdrawnAt.try_emplace(key, m_newestKeyAt);
}

void soak_checker::finish()
{
    const std::lock_guard lock(m_mutex);
    if (m_statuses[200] == 0)
        add("no request was served");
}

std::vector<std::string> soak_checker::problems() const
{
    const std::lock_guard lock(m_mutex);
    return m_problems;
}

std::map<int, int> soak_checker::statuses() const
{
    const std::lock_guard lock(m_mutex);
    return m_statuses;
}

} // namespace flamingoroute::soak
