#include "flamingoroute/fleet/load_changes.hpp"
#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/placement/upstream_directory.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <queue>
#include <random>

namespace flamingoroute {

namespace {

constexpr int stepMs = 10;
constexpr int exchangeMs = 500;
constexpr std::size_t slots = 6;
constexpr std::size_t maxLoadsPerReport = 24;
constexpr std::size_t maxLoadsPerDigest = 128;

/// Instances that send requests to upstreams in a simulated minute, as one region does whose callers keep most slots
/// busy. Each request goes to the one of four upstreams with the least estimated load.
class busy_region {
public:
    busy_region(std::size_t instances, std::size_t upstreams, double utilization, bool isExchanging)
        : m_isExchanging(isExchanging)
        , m_changes(instances)
        , m_upstreams(upstreams)
        , m_requestsPerStep(utilization * static_cast<double>(upstreams * slots) * stepMs / workMs)
    {
        for (std::size_t i = 0; i < upstreams; ++i)
            m_names.emplace_back("u-" + std::to_string(i));
        for (std::size_t i = 0; i < instances; ++i) {
            m_directories.emplace_back(std::map<failure_domain_id, region_id> {});
            for (const auto& name : m_names) {
                registered_upstream entry;
                entry.name = name;
                entry.slots = slots;
                m_directories.back().apply(entry, m_now);
            }
        }
    }

    void simulate(int ms)
    {
        for (int passed = 0; passed < ms; passed += stepMs) {
            m_now += milliseconds(stepMs);
            for (std::size_t i = 0; i < m_upstreams.size(); ++i)
                runUpstream(i);
            std::poisson_distribution<int> arrivals(m_requestsPerStep);
            for (int left = arrivals(m_random); left > 0; --left)
                sendOne();
            if (m_isExchanging)
                exchange(passed);
        }
    }

    double meanError() const { return m_errors / m_estimates; }
    double meanWaitMs() const { return m_waitMs / m_started; }
    std::size_t longestDigest() const { return m_longestDigest; }
    std::size_t longestReport() const { return m_longestReport; }

private:
    static constexpr double workMs = 700;

    struct queued_request {
        std::size_t instance = 0;
        monotonic_time at;
    };
    struct running_request {
        std::size_t instance = 0;
        monotonic_time until;
    };
    struct busy_upstream {
        std::vector<running_request> running;
        std::queue<queued_request> waiting;
    };

    int loadOf(std::size_t upstream) const
    {
        return static_cast<int>(m_upstreams[upstream].running.size() + m_upstreams[upstream].waiting.size());
    }

    void runUpstream(std::size_t which)
    {
        auto& upstream = m_upstreams[which];
        for (std::size_t i = 0; i < upstream.running.size();) {
            if (upstream.running[i].until > m_now) {
                ++i;
                continue;
            }
            const auto instance = upstream.running[i].instance;
            upstream.running.erase(upstream.running.begin() + static_cast<std::ptrdiff_t>(i));
            answer(which, instance);
        }
        std::exponential_distribution<double> work(1 / workMs);
        while (upstream.running.size() < slots && !upstream.waiting.empty()) {
            const auto next = upstream.waiting.front();
            upstream.waiting.pop();
            m_waitMs += std::chrono::duration<double, std::milli>(m_now - next.at).count();
            ++m_started;
            upstream.running.push_back({ next.instance, m_now + milliseconds(static_cast<int>(work(m_random))) });
        }
    }

    void answer(std::size_t upstream, std::size_t instance)
    {
        attempt_report report;
        report.load = reported_load { static_cast<int>(m_upstreams[upstream].running.size()),
            static_cast<int>(m_upstreams[upstream].waiting.size()), slots };
        m_directories[instance].recordResult(m_names[upstream], report, milliseconds(0), m_now);
        const auto load = static_cast<std::uint16_t>(loadOf(upstream));
        m_changes[instance].record({ upstreamHash(hash64(m_names[upstream].value())), load, 0 }, m_now);
    }

    void sendOne()
    {
        const std::size_t instance = m_random() % m_directories.size();
        auto& directory = m_directories[instance];
        std::size_t chosen = 0;
        double least = std::numeric_limits<double>::max();
        for (int candidate = 0; candidate < 4; ++candidate) {
            const std::size_t upstream = m_random() % m_upstreams.size();
            const double estimate = estimatedLoad(*directory.find(m_names[upstream]), m_now);
            m_errors += std::abs(estimate - loadOf(upstream));
            ++m_estimates;
            // A free slot is as good as several.
            const double wait = std::max(0.0, estimate + 1 - static_cast<double>(slots));
            if (wait < least) {
                least = wait;
                chosen = upstream;
            }
        }
        directory.recordSent(m_names[chosen], m_now);
        m_upstreams[chosen].waiting.push({ instance, m_now });
    }

    /// Sends the reports and the digest that are due: the timers of instances are independent of each other.
    void exchange(int elapsedMs)
    {
        for (std::size_t i = 0; i < m_changes.size(); ++i) {
            if ((elapsedMs / stepMs + static_cast<int>(i)) % (exchangeMs / stepMs) == 0)
                report(m_changes[i]);
        }
        if (elapsedMs % exchangeMs == 0)
            sendDigest();
    }

    void report(load_changes& changes)
    {
        const auto loads = changes.take(maxLoadsPerReport, m_now);
        m_longestReport = std::max(m_longestReport, packMessage(loads).size());
        for (const auto& load : loads)
            m_relayed.record(load, m_now);
    }

    void sendDigest()
    {
        const auto loads = m_relayed.take(maxLoadsPerDigest, m_now);
        m_longestDigest = std::max(m_longestDigest, packMessage(loads).size());
        for (auto& directory : m_directories) {
            for (const auto& load : loads)
                directory.recordFleetLoad(load.upstream, load.requests, m_now - milliseconds(load.ageMs));
        }
    }

    bool m_isExchanging;
    std::mt19937_64 m_random { 33 };
    std::vector<upstream_id> m_names;
    std::vector<upstream_directory> m_directories;
    std::vector<load_changes> m_changes;
    load_changes m_relayed;
    std::vector<busy_upstream> m_upstreams;
    double m_requestsPerStep;
    monotonic_time m_now { seconds(100) };
    double m_errors = 0;
    double m_estimates = 0;
    double m_waitMs = 0;
    double m_started = 0;
    std::size_t m_longestDigest = 0;
    std::size_t m_longestReport = 0;
};

} // namespace

TEST(fleet_loads, lower_the_error_of_estimates_and_the_time_that_requests_wait)
{
    busy_region alone(100, 280, 0.85, false);
    busy_region exchanging(100, 280, 0.85, true);
    alone.simulate(20'000);
    exchanging.simulate(20'000);
    EXPECT_LT(exchanging.meanError(), 0.85 * alone.meanError()) << alone.meanError();
    EXPECT_LT(exchanging.meanWaitMs(), 0.9 * alone.meanWaitMs()) << alone.meanWaitMs();
    RecordProperty("error_alone", std::to_string(alone.meanError()));
    RecordProperty("error_exchanging", std::to_string(exchanging.meanError()));
    RecordProperty("wait_ms_alone", std::to_string(alone.meanWaitMs()));
    RecordProperty("wait_ms_exchanging", std::to_string(exchanging.meanWaitMs()));
}

TEST(fleet_loads, take_bounded_bytes_whatever_the_number_of_upstreams)
{
    constexpr std::size_t maxBytesOfLoad = 12;
    busy_region region(20, 1000, 0.85, true);
    region.simulate(3000);
    EXPECT_LE(region.longestReport(), maxLoadsPerReport * maxBytesOfLoad + 3);
    EXPECT_LE(region.longestDigest(), maxLoadsPerDigest * maxBytesOfLoad + 3);
}

} // namespace flamingoroute
