#include "soak/soak_judge.hpp"

#include "soak/soak_terms.hpp"

#include <algorithm>

namespace flamingoroute::soak {

namespace {

constexpr int mostAttempts = 2;
constexpr int wrongKeyStatus = 401;
constexpr std::size_t bodyBytes = 600;

bool promisesNotRun(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

void dropOld(std::deque<monotonic_time>& times, monotonic_time now, microseconds window)
{
    while (!times.empty() && now - times.front() >= window)
        times.pop_front();
}

} // namespace

std::string bodyFor(const std::string& id)
{
    std::string body = "answer to " + id + " ";
    body.resize(bodyBytes, '.');
    return body + id;
}

void soak_judge::add(const std::string& what) { m_problems.push_back(what); }

void soak_judge::noteProblem(const std::string& what)
{
    const std::lock_guard lock(m_mutex);
    add(what);
}

bool soak_judge::isCalm(const std::string& node, monotonic_time now) const
{
    const auto hasPassed = [&](const std::string& name) {
        const auto known = m_troubleUntil.find(name);
        return known == m_troubleUntil.end() || now > known->second + calmAfter;
    };
    return hasPassed(node) && hasPassed("");
}

void soak_judge::noteSent(const sent_request& request)
{
    const std::lock_guard lock(m_mutex);
    m_requests[request.id].sent = request;
    m_firsts.push_back(request.sentAt);
}

bool soak_judge::noteArrived(const arrived_request& request)
{
    const std::lock_guard lock(m_mutex);
    const auto now = monotonicNow();
    const auto found = m_requests.find(request.id);
    if (found == m_requests.end()) {
        add("an upstream got request " + request.id + ", which no caller sent");
        return false;
    }
    auto& known = found->second;
    ++known.runs;
    if (request.hasKey)
        add("an upstream got the key of request " + request.id);
    if (request.customer != known.sent.customer)
        add("request " + request.id + " of " + known.sent.customer + " ran for " + request.customer);
    if (known.sent.isOrder && known.runs > 1)
        add("order " + request.id + " ran twice");
    if (known.runs > mostAttempts)
        add("request " + request.id + " ran " + std::to_string(known.runs) + " times");
    if (known.status >= 0 && known.sent.isOrder && promisesNotRun(known.status))
        add("order " + request.id + " ran after it was refused with " + std::to_string(known.status));
    const auto leaving = m_leavingSince.find(request.upstream);
    const bool isLate = leaving != m_leavingSince.end() && now - leaving->second > drainBound;
    if (isLate && isCalm(known.sent.node, now))
        add("upstream " + request.upstream + " got request " + request.id + " after it had left");
    if (known.runs > 1)
        m_repeats.push_back(now);
    dropOld(m_repeats, now, terms::retryWindow);
    dropOld(m_firsts, now, 2 * terms::retryWindow);
    if (static_cast<double>(m_repeats.size())
        > terms::retryRatio * static_cast<double>(m_firsts.size()) + terms::retrySlack)
        add("too many repeated sendings: " + std::to_string(m_repeats.size()));
    if (request.customer == terms::limitedCustomer)
        checkRate(request.customer, now);
    return true;
}

void soak_judge::checkRate(const std::string& customer, monotonic_time now)
{
    m_limitedRuns.push_back(now);
    dropOld(m_limitedRuns, now, terms::rateWindow);
    const double window = std::chrono::duration<double>(terms::rateWindow).count();
    const double allowed
        = (terms::limitedRate * window + terms::limitedBurst) * (1 + terms::rateOvershoot) + terms::rateSlack;
    if (static_cast<double>(m_limitedRuns.size()) > allowed)
        add(customer + " had " + std::to_string(m_limitedRuns.size()) + " requests run in a window, "
            + std::to_string(m_repeats.size()) + " repeated sendings of all customers in the last ten seconds");
}

void soak_judge::noteReply(const std::string& id, const testing::http_reply& reply)
{
    const std::lock_guard lock(m_mutex);
    ++m_statuses[reply.status];
    auto& known = m_requests.at(id);
    known.status = reply.status;
    checkReply(known, reply);
    checkKey(known, monotonicNow());
}

void soak_judge::checkReply(known_request& known, const testing::http_reply& reply)
{
    const auto& id = known.sent.id;
    if (reply.status == 200 && (reply.body != bodyFor(id) || reply.header("X-Flamingoroute-Response-Signature") != id))
        add("request " + id + " got another answer, or not the whole of it");
    if (reply.status == 200 && known.runs == 0)
        add("request " + id + " got an answer that no upstream gave");
    if (known.sent.isOrder && promisesNotRun(reply.status) && known.runs > 0)
        add("order " + id + " ran and was refused with " + std::to_string(reply.status));
    if (reply.status == 400 || reply.status == 404)
        add("request " + id + " is proper and got " + std::to_string(reply.status));
    const bool isLost = reply.status == 0 && known.runs > 0 && m_isStopping[known.sent.node];
    if (isLost && isCalm(known.sent.node, known.sent.sentAt))
        add("node " + known.sent.node + " stopped without answering request " + id);
}

void soak_judge::checkKey(const known_request& known, monotonic_time now)
{
    const auto& sent = known.sent;
    const auto withdrawn = m_withdrawnAt.find(sent.key);
    const bool isWithdrawn = withdrawn != m_withdrawnAt.end();
    const bool wasCalm = isCalm(sent.node, now) && isCalm(sent.node, sent.sentAt);
    const bool isNewKey = now - m_newestKeyAt < configurationBound;
    if (known.status == wrongKeyStatus && !isWithdrawn && !isNewKey && wasCalm)
        add("request " + sent.id + " was refused for its key, which holds");
    if (known.status != 200)
        return;
    if (isWithdrawn && sent.sentAt > withdrawn->second + configurationBound && wasCalm)
        add("request " + sent.id + " ran with a key that had been withdrawn");
    auto& newest = m_newestKeys[sent.node];
    if (sent.keyVersion < newest.version && sent.sentAt > newest.acceptedAt)
        add("node " + sent.node + " went back to an older configuration with request " + sent.id);
    if (sent.keyVersion > newest.version)
        newest = { sent.keyVersion, now };
}

void soak_judge::noteTrouble(const std::string& node, monotonic_time until)
{
    const std::lock_guard lock(m_mutex);
    auto& known = m_troubleUntil[node];
    known = std::max(known, until);
}

void soak_judge::endTrouble(const std::string& node)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_troubleUntil.find(node);
    if (known != m_troubleUntil.end())
        known->second = std::min<monotonic_time>(known->second, monotonicNow());
}

void soak_judge::noteNewProcess(const std::string& node)
{
    const std::lock_guard lock(m_mutex);
    m_newestKeys.erase(node);
    m_isStopping.erase(node);
}

void soak_judge::noteStopping(const std::string& node, bool isStopping)
{
    const std::lock_guard lock(m_mutex);
    m_isStopping[node] = isStopping;
}

void soak_judge::noteLeaving(const std::string& upstream)
{
    const std::lock_guard lock(m_mutex);
    m_leavingSince.try_emplace(upstream, monotonicNow());
}

void soak_judge::noteKeyWithdrawn(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_newestKeyAt = monotonicNow();
    m_withdrawnAt.try_emplace(key, m_newestKeyAt);
}

void soak_judge::finish()
{
    const std::lock_guard lock(m_mutex);
    if (m_statuses[200] == 0)
        add("no request was served");
}

std::vector<std::string> soak_judge::problems() const
{
    const std::lock_guard lock(m_mutex);
    return m_problems;
}

std::map<int, int> soak_judge::statuses() const
{
    const std::lock_guard lock(m_mutex);
    return m_statuses;
}

} // namespace flamingoroute::soak
