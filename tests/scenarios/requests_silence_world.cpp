#include "flamingoroute/requests/pool_policy.hpp"
#include "support/scenario/scenario_world.hpp"
#include "support/scenario/world_registry.hpp"

#include <memory>
#include <random>
#include <vector>

namespace flamingoroute::testing {

namespace {

using run_result = tl::expected<void, scenario_error>;

run_result fail(const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { 0, word, detail });
}

struct fake_connection {
    monotonic_time lastAnswerAt;
    bool isUnresponsive = false;
};

/// One instance's connections to one upstream, managed by the pool policy. Commands:
///
///     freeze                               all open connections become unresponsive permanently
///     lookup | order                       a repeatable or a non-repeatable request
///     expect unknown orders at most COUNT
///     expect slow lookups at most COUNT    those that used an unresponsive connection first
///     expect failed lookups at most COUNT
///     expect new connections at most PERCENT of requests
class requests_silence_world : public scenario_world {
public:
    explicit requests_silence_world(std::uint64_t seed)
        : m_random(seed)
        , m_policy(pool_limits {})
    {
    }

    void advanceTo(microseconds now) override { m_now = monotonic_time { now }; }

    run_result run(const scenario_command& command) override
    {
        const auto& words = command.words;
        if (words[0] == "freeze") {
            for (auto& connection : m_idle)
                connection.isUnresponsive = true;
            return {};
        }
        if (words[0] == "lookup" || words[0] == "order")
            return send(words[0] == "lookup");
        if (words[0] != "expect" || words.size() < 6)
            return fail(words[0], "is not a command of this world");
        const int maximum = std::stoi(words[5]);
        if (words[1] == "unknown")
            return expectAtMost("unknown orders", m_unknownOrders, maximum);
        if (words[1] == "slow")
            return expectAtMost("slow lookups", m_slowLookups, maximum);
        if (words[1] == "failed")
            return expectAtMost("failed lookups", m_failedLookups, maximum);
        return expectAtMost("new connections in percent", m_opened * 100 / m_requests, maximum);
    }

private:
    run_result send(bool isRepeatable)
    {
        ++m_requests;
        m_policy.recordExchange();
        auto connection = acquireIdle(isRepeatable);
        if (!connection)
            return answer(open());
        if (!connection->isUnresponsive)
            return answer(*connection);
        if (isRepeatable && m_policy.takeEarlyRetry()) {
            ++m_slowLookups;
            dropUnresponsive();
            return answer(open());
        }
        ++(isRepeatable ? m_failedLookups : m_unknownOrders);
        dropUnresponsive();
        return {};
    }

    std::unique_ptr<fake_connection> acquireIdle(bool isRepeatable)
    {
        while (!m_idle.empty()) {
            const auto use = m_policy.classify(m_idle.back().lastAnswerAt, isRepeatable, m_now);
            if (use == idle_connection_use::skip)
                return nullptr;
            const auto taken = m_idle.back();
            m_idle.pop_back();
            if (use != idle_connection_use::close)
                return std::make_unique<fake_connection>(taken);
        }
        return nullptr;
    }

    fake_connection open()
    {
        ++m_opened;
        return { m_now, false };
    }

    run_result answer(fake_connection connection)
    {
        constexpr int maxServiceUs = 20'000;
        connection.lastAnswerAt = m_now + microseconds(m_random() % maxServiceUs);
        m_idle.push_back(connection);
        // Concurrent requests leave more than one idle connection.
        if (m_random() % 4 == 0)
            m_idle.push_back(open());
        return {};
    }

    void dropUnresponsive()
    {
        m_policy.recordUnresponsive(m_now);
        std::erase_if(m_idle, [&](const auto& connection) {
            return m_policy.classify(connection.lastAnswerAt, true, m_now) == idle_connection_use::close;
        });
    }

    static run_result expectAtMost(const std::string& what, int actual, int maximum)
    {
        if (actual <= maximum)
            return {};
        return fail(what, std::to_string(actual) + " instead of at most " + std::to_string(maximum));
    }

    std::mt19937_64 m_random;
    monotonic_time m_now;
    pool_policy m_policy;
    std::vector<fake_connection> m_idle;
    int m_requests = 0;
    int m_opened = 0;
    int m_unknownOrders = 0;
    int m_slowLookups = 0;
    int m_failedLookups = 0;
};

const world_registration registration(
    "requests_silence", [](std::uint64_t seed) { return std::make_unique<requests_silence_world>(seed); });

} // namespace

} // namespace flamingoroute::testing
