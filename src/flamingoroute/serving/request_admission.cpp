#include "flamingoroute/serving/request_admission.hpp"

#include "flamingoroute/proxy/caller_exchange.hpp"
#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/requests/request_hash.hpp"
#include "flamingoroute/serving/local_answer.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Longest time until a request's deadline, also used if the caller or the rule sets none.
constexpr milliseconds maxDeadline { 60000 };
constexpr milliseconds retryAfterBeforeConfiguration { 500 };
/// Requests of ranks up to lastHighRank may wait for most of their objective; the others leave capacity for them.
constexpr double maxWaitShareOfHighRanks = 0.8;
constexpr double maxWaitShareOfOtherRanks = 0.5;
constexpr int lastHighRank = 1;

std::string bearerKey(const std::vector<http_header>& headers)
{
    const std::string scheme = "Bearer ";
    const std::string value = headerValue(headers, "Authorization");
    return value.rfind(scheme, 0) == 0 ? value.substr(scheme.size()) : std::string();
}

/// @return the regions in both lists; an empty list means all regions
std::optional<std::set<region_id>> commonHomes(const std::vector<region_id>& left, const std::vector<region_id>& right)
{
    if (left.empty() && right.empty())
        return std::nullopt;
    const auto& first = left.empty() ? right : left;
    const auto& second = right.empty() ? left : right;
    std::set<region_id> common;
    for (const auto& region : first) {
        if (std::find(second.begin(), second.end(), region) != second.end())
            common.insert(region);
    }
    return common;
}

service_id serviceFor(const routing_rule& rule, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const auto& share : rule.shares)
        total += static_cast<std::uint64_t>(std::max(0, share.weight));
    if (total == 0)
        return rule.shares.front().service;
    std::uint64_t position = mix64(requestHash) % total;
    for (const auto& share : rule.shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(0, share.weight));
        if (position < weight)
            return share.service;
        position -= weight;
    }
    return rule.shares.back().service;
}

} // namespace

request_admission::request_admission(serving_state& state)
    : m_state(state)
{
}

std::optional<local_refusal> request_admission::admit(const caller_exchange& exchange, admitted_request& admitted) const
{
    if (const auto refusal = admitHead(exchange, admitted))
        return refusal;
    if (const auto refusal = checkQuarantine(exchange, admitted))
        return refusal;
    if (const auto refusal = checkRate(admitted))
        return refusal;
    fillQuery(exchange, admitted);
    return std::nullopt;
}

std::optional<local_refusal> request_admission::admitForwarded(
    const caller_exchange& exchange, admitted_request& admitted) const
{
    if (const auto refusal = admitHead(exchange, admitted))
        return refusal;
    fillQuery(exchange, admitted);
    return std::nullopt;
}

std::optional<local_refusal> request_admission::admitHead(
    const caller_exchange& exchange, admitted_request& admitted) const
{
    admitted.table = m_state.table;
    if (const auto refusal = checkForm(exchange, admitted))
        return refusal;
    if (const auto refusal = findRule(exchange, admitted))
        return refusal;
    if (const auto refusal = authenticate(exchange, admitted))
        return refusal;
    return setDeadline(exchange, admitted);
}

std::optional<local_refusal> request_admission::checkForm(
    const caller_exchange& exchange, admitted_request& admitted) const
{
    const auto& headers = exchange.request.headers;
    admitted.id = headerValue(headers, m_state.headers.requestId);
    if (headerValue(headers, "Host").empty())
        return local_refusal { 400, "missing_host" };
    if (admitted.id.empty())
        return local_refusal { 400, "missing_request_id" };
    return std::nullopt;
}

std::optional<local_refusal> request_admission::findRule(
    const caller_exchange& exchange, admitted_request& admitted) const
{
    if (!admitted.table)
        return local_refusal { 503, "not_ready", retryAfterBeforeConfiguration };
    admitted.rule = admitted.table->findRule(headerValue(exchange.request.headers, "Host"), exchange.request.target);
    if (admitted.rule == nullptr)
        return local_refusal { 404, "unknown_route" };
    return std::nullopt;
}

std::optional<local_refusal> request_admission::authenticate(
    const caller_exchange& exchange, admitted_request& admitted) const
{
    const std::string key = bearerKey(exchange.request.headers);
    if (!key.empty())
        admitted.customer = admitted.table->findCustomer(key);
    const bool isOpen = admitted.rule->isPublic || !admitted.table->configuration().requiresKeys;
    if (admitted.customer == nullptr && !isOpen)
        return local_refusal { 401, "wrong_key" };
    return std::nullopt;
}

std::optional<local_refusal> request_admission::setDeadline(
    const caller_exchange& exchange, admitted_request& admitted) const
{
    const auto remaining
        = parseMilliseconds(headerValue(exchange.request.headers, m_state.headers.remainingTime), maxDeadline);
    const auto timeout = admitted.rule->timeout > milliseconds(0) ? admitted.rule->timeout : maxDeadline;
    admitted.deadline = exchange.arrivedAt + std::min({ remaining, timeout, maxDeadline });
    if (remaining <= milliseconds(0))
        return local_refusal { 503, "deadline_passed" };
    return std::nullopt;
}

std::optional<local_refusal> request_admission::checkQuarantine(
    const caller_exchange& exchange, const admitted_request& admitted) const
{
    if (m_state.quarantine.empty())
        return std::nullopt;
    if (m_state.quarantine.quarantinedFor(fingerprintOf(exchange, admitted), monotonicNow()))
        return local_refusal { 503, "quarantined" };
    return std::nullopt;
}

std::optional<local_refusal> request_admission::checkRate(const admitted_request& admitted) const
{
    if (admitted.customer == nullptr)
        return std::nullopt;
    const auto now = monotonicNow();
    const auto& name = admitted.customer->name;
    const auto view = m_state.members.demandFor(name, now);
    const auto wait = m_state.rates.admit(*admitted.customer, view, now);
    const bool isLimited = admitted.customer->ratePerSecond > 0;
    if (isLimited && m_state.reportSoon && m_state.rates.isEarlyReportDue(name, view.localAdmitted, now))
        m_state.reportSoon();
    if (wait > milliseconds(0))
        return local_refusal { 429, "over_rate", wait };
    return std::nullopt;
}

void request_admission::fillQuery(const caller_exchange& exchange, admitted_request& admitted) const
{
    const auto* rule = admitted.rule;
    const auto* customer = admitted.customer;
    const std::string object = headerValue(exchange.request.headers, m_state.headers.objectKey);
    auto& query = admitted.query;
    query.rule = rule;
    query.requestHash = hash64(admitted.id);
    query.service = serviceFor(*rule, query.requestHash);
    query.homeRegions
        = commonHomes(rule->homeRegions, customer == nullptr ? std::vector<region_id>() : customer->homeRegions);
    const bool hasObject = rule->isSticky && !object.empty();
    query.objectHash = hasObject ? hash64(rule->name + "\n" + object) : query.requestHash;
    const int rank = customer != nullptr && customer->rank >= 0 ? customer->rank : rule->rank;
    query.maxWaitShare = rank <= lastHighRank ? maxWaitShareOfHighRanks : maxWaitShareOfOtherRanks;
}

std::string fingerprintOf(const caller_exchange& exchange, const admitted_request& admitted)
{
    const auto& request = exchange.request;
    const std::string customer = admitted.customer == nullptr ? std::string() : admitted.customer->name.value();
    return hashOf({ admitted.rule->host, request.method, request.target, customer, request.body.text() });
}

} // namespace flamingoroute
