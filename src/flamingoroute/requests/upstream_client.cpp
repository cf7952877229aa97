#include "flamingoroute/requests/upstream_client.hpp"

#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/requests/internal/connection_pool.hpp"
#include "flamingoroute/requests/internal/request_writer.hpp"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace flamingoroute {

using internal::connection_pool;
using internal::exchange_end;
using internal::upstream_connection;

namespace {

constexpr int serviceUnavailable = 503;
constexpr microseconds sweepPeriod { 1'000'000 };

using pool_ptr = std::shared_ptr<connection_pool>;

/// Converts an exchange's answer into @p result: the state that the upstream reports, and the part for the caller.
void applyAnswer(caller_answer answer, bool isHead, attempt_result& result)
{
    double load = 0;
    if (Poco::NumberParser::tryParseFloat(headerValue(answer.headers, "Upstream-Load"), load))
        result.reportedLoad = std::clamp(load, 0.0, 1.0);
    result.isUpstreamLeaving = headerValue(answer.headers, "Upstream-Leaving") == "true";
    const bool isRefusal
        = answer.status == serviceUnavailable && headerValue(answer.headers, "Upstream-Execution") == "not-run";
    result.outcome = isRefusal ? attempt_outcome::refused : attempt_outcome::answered;
    if (isRefusal)
        result.failure = { error_code::unavailable, "upstream.refused", "",
            "the upstream refused the request and did not run it" };
    constexpr int notModified = 304;
    answer.headers = internal::headersForCaller(answer.headers, isHead || answer.status == notModified);
    result.answer = std::move(answer);
}

attempt_result resultOf(exchange_end end, bool isHead)
{
    attempt_result result;
    if (end.answer) {
        applyAnswer(std::move(*end.answer), isHead, result);
        return result;
    }
    result.outcome = end.hasSent ? attempt_outcome::unknown : attempt_outcome::not_sent;
    result.failure = std::move(end.failure);
    return result;
}

} // namespace

struct upstream_client::state {
    upstream_client_options options;
    mutable std::mutex mutex;
    std::map<std::pair<upstream_id, endpoint>, pool_ptr> pools;
    monotonic_time sweptAt = monotonicNow();

    pool_ptr poolOf(const upstream& target)
    {
        const std::lock_guard lock(mutex);
        sweep(monotonicNow());
        auto& pool = pools[{ target.name, target.address }];
        if (!pool) {
            const int bound = std::max(1, target.maxConnections / std::max(1, options.instancesPerUpstream));
            pool = std::make_shared<connection_pool>(bound, options.pool);
        }
        return pool;
    }

    void sweep(monotonic_time now)
    {
        if (now < sweptAt + sweepPeriod)
            return;
        sweptAt = now;
        for (const auto& [name, pool] : pools)
            pool->closeStale(now);
        std::erase_if(
            pools, [](const auto& entry) { return entry.second.use_count() == 1 && entry.second->openCount() == 0; });
    }
};

namespace {

/// One attempt: a request that is not repeatable is written at most once.
class single_attempt {
public:
    single_attempt(const upstream_client_options& options, connection_pool& pool, const upstream& target,
        const caller_request& request, monotonic_time deadline)
        : m_options(options)
        , m_pool(pool)
        , m_target(target)
        , m_request(request)
        , m_deadline(deadline)
        , m_isHead(request.method == "HEAD")
    {
    }

    exchange_end run()
    {
        m_pool.recordExchange();
        if (auto connection = m_pool.takeIdle(m_request.isRepeatable, monotonicNow())) {
            auto end = runOnPooled(std::move(connection));
            if (!mayRetryOnNewConnection(end))
                return end;
            auto second = runOnNew();
            second.hasSent = second.hasSent || end.hasSent;
            return second;
        }
        return runOnNew();
    }

private:
    exchange_end runOnPooled(std::unique_ptr<upstream_connection> connection)
    {
        const auto startedAt = monotonicNow();
        std::optional<monotonic_time> firstByteBy;
        if (m_request.isRepeatable && m_pool.takeEarlyRetry())
            firstByteBy = startedAt + m_options.pool.earlyRetryAfter;
        auto end = exchange(std::move(connection), firstByteBy);
        if (end.isUnresponsive)
            m_pool.recordUnresponsive(startedAt, monotonicNow());
        return end;
    }

    /// @return whether the request may be sent on a new connection after an exchange on a pooled one failed
    bool mayRetryOnNewConnection(const exchange_end& end) const
    {
        if (end.answer || monotonicNow() >= m_deadline)
            return false;
        return !end.hasSent || (m_request.isRepeatable && end.isUnresponsive);
    }

    exchange_end runOnNew()
    {
        exchange_end end;
        if (!m_pool.reserve()) {
            end.failure = { error_code::unavailable, "upstream.connect", m_target.name.value(),
                "all connections that this instance may open to the upstream are in use" };
            return end;
        }
        auto connection = upstream_connection::open(m_target, m_options, m_deadline);
        if (connection)
            return exchange(std::move(*connection), std::nullopt);
        m_pool.countClosed();
        end.failure = connection.error();
        return end;
    }

    exchange_end exchange(std::unique_ptr<upstream_connection> connection, std::optional<monotonic_time> firstByteBy)
    {
        const auto bytes = internal::serializeRequest(m_target, m_request, m_deadline - monotonicNow());
        auto end = connection->exchange(bytes, m_isHead, m_deadline, firstByteBy);
        if (end.isReusable) {
            m_pool.putIdle(std::move(connection));
            return end;
        }
        connection.reset();
        m_pool.countClosed();
        return end;
    }

    const upstream_client_options& m_options;
    connection_pool& m_pool;
    const upstream& m_target;
    const caller_request& m_request;
    monotonic_time m_deadline;
    bool m_isHead;
};

} // namespace

upstream_client::upstream_client(upstream_client_options options)
    : m_state(std::make_unique<state>())
{
    m_state->options = options;
}

upstream_client::~upstream_client() = default;

attempt_result upstream_client::attempt(const upstream& target, const caller_request& request, monotonic_time deadline)
{
    const auto startedAt = monotonicNow();
    const auto pool = m_state->poolOf(target);
    auto end = single_attempt(m_state->options, *pool, target, request, deadline).run();
    auto result = resultOf(std::move(end), request.method == "HEAD");
    result.duration = monotonicNow() - startedAt;
    return result;
}

int upstream_client::openConnections() const
{
    const std::lock_guard lock(m_state->mutex);
    int count = 0;
    for (const auto& [name, pool] : m_state->pools)
        count += pool->openCount();
    return count;
}

} // namespace flamingoroute
