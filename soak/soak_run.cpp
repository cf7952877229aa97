#include "soak/soak_run.hpp"

#include "soak/soak_checker.hpp"
#include "soak/soak_environment.hpp"
#include "soak/soak_parameters.hpp"
#include "support/process/pipelining_caller.hpp"

#include <atomic>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <thread>

namespace flamingoroute::soak {

namespace {

constexpr milliseconds step { 20 };
constexpr milliseconds callerPause { 15 };
constexpr int deadlineMs = 1500;
/// A draining upstream keeps serving for longer than soak_checker::drainBound.
constexpr milliseconds drainDuration { 3500 };
constexpr int batchesPerConnection = 25;
constexpr int maxRequestsAhead = 3;
/// Faults end this long before the run ends, so that the run also checks whether the nodes recover.
constexpr seconds recoveryTime { 6 };

/// Sends requests to one random node after another, several over each connection, some without waiting for answers.
class soak_caller {
public:
    soak_caller(soak_environment& environment, soak_checker& checker, std::uint64_t seed, std::size_t number)
        : m_environment(environment)
        , m_checker(checker)
        , m_random(seed * 1000 + number)
        , m_name(std::to_string(seed) + "-" + std::to_string(number))
    {
    }

    void run(const std::atomic<bool>& isOver)
    {
        const auto nodes = m_environment.nodeNames();
        while (!isOver) {
            const auto& node = nodes[m_random() % nodes.size()];
            testing::pipelining_caller connection(m_environment.callerAddress(node), milliseconds { deadlineMs + 500 });
            bool isAnswered = true;
            for (int i = 0; i < batchesPerConnection && isAnswered && !isOver; ++i) {
                isAnswered = sendBatch(connection, node);
                std::this_thread::sleep_for(callerPause);
            }
        }
    }

private:
    /// Sends an order, or some reads without waiting for their answers in between.
    bool sendBatch(testing::pipelining_caller& connection, const std::string& node)
    {
        const bool isOrder = m_random() % 3 == 0;
        const auto count = isOrder ? 1 : 1 + m_random() % maxRequestsAhead;
        std::vector<std::string> ids;
        for (std::size_t i = 0; i < count; ++i)
            ids.push_back(sendOne(connection, node, isOrder));
        bool isAnswered = true;
        bool isClosing = false;
        for (const auto& id : ids) {
            const auto reply = connection.receive();
            m_checker.recordReply(id, reply);
            isAnswered = isAnswered && reply.status != 0;
            isClosing = isClosing || reply.header("Connection") == "close";
        }
        return isAnswered && !isClosing;
    }

    std::string sendOne(testing::pipelining_caller& connection, const std::string& node, bool isOrder)
    {
        sent_request request;
        request.id = m_name + "-" + std::to_string(++m_number);
        request.node = node;
        request.customer = m_random() % 4 == 0 ? parameters::limitedCustomer : parameters::unlimitedCustomer;
        const int version = m_environment.version();
        request.keyVersion = m_random() % 10 == 0 && version > 1 ? version - 1 : version;
        request.key = soak_environment::keyOf(request.customer, request.keyVersion);
        request.isOrder = isOrder;
        request.sentAt = monotonicNow();
        m_checker.recordSent(request);
        connection.send(request.isOrder ? "POST" : "GET", (request.isOrder ? "/order/" : "/read/") + request.id,
            { { "Host", "counter.example" }, { "X-Flamingoroute-Request-Id", request.id },
                { "X-Flamingoroute-Deadline-Remaining", std::to_string(deadlineMs) },
                { "Authorization", "Bearer " + request.key } },
            request.isOrder ? "{}" : "");
        return request.id;
    }

    soak_environment& m_environment;
    soak_checker& m_checker;
    std::mt19937_64 m_random;
    std::string m_name;
    int m_number = 0;
};

/// Starts and ends faults in an order that the seed determines.
class fault_schedule {
public:
    fault_schedule(soak_environment& environment, const soak_options& options)
        : m_environment(environment)
        , m_options(options)
        , m_random(options.seed)
        , m_restorationRandom(options.seed + 1)
    {
    }

    void run(monotonic_time until)
    {
        auto next = monotonicNow();
        auto nextRestoration = next + milliseconds(m_restorationRandom() % 2000);
        while (monotonicNow() < until) {
            runDue();
            m_environment.restartExitedNodes();
            if (m_options.hasRestorations && monotonicNow() >= nextRestoration) {
                startRestoration();
                nextRestoration = monotonicNow() + milliseconds(2500 + m_restorationRandom() % 2500);
            }
            if (monotonicNow() >= next) {
                startFault();
                next = monotonicNow() + milliseconds(100 + pick(1100));
            }
            std::this_thread::sleep_for(step);
        }
        m_due.clear();
        m_environment.heal();
    }

private:
    std::int64_t pick(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }

    std::string pickOne(const std::vector<std::string>& names)
    {
        return names[static_cast<std::size_t>(pick(static_cast<std::int64_t>(names.size())))];
    }

    void scheduleEnd(milliseconds delay, std::function<void()> end)
    {
        m_due.emplace(monotonicNow() + delay, std::move(end));
    }

    void runDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= monotonicNow()) {
            const auto end = m_due.extract(m_due.begin());
            end.mapped()();
        }
    }

    void logFault(const std::string& what) const
    {
        if (m_options.isVerbose)
            std::cout << "fault: " << what << '\n';
    }

    testing::link_fault randomLinkFault()
    {
        testing::link_fault fault;
        switch (pick(5)) {
        case 0:
            fault.isDisconnected = true;
            break;
        case 1:
            fault.isForwardDropped = true;
            break;
        case 2:
            fault.isBackwardDropped = true;
            break;
        case 3:
            fault.isFreezingOpenConnections = true;
            break;
        default:
            fault.delay = milliseconds(20 + pick(300));
        }
        return fault;
    }

    void startFault()
    {
        const auto duration = milliseconds(200 + pick(2800));
        const auto node = pickOne(m_environment.nodeNames());
        const auto upstream = pickOne(m_environment.upstreamNames());
        const auto domain = pickOne({ "centro-a", "centro-b", "oriente-a" });
        constexpr std::int64_t restartFaults = 3;
        constexpr std::int64_t allFaults = 16;
        switch (pick(m_options.hasOnlyRestarts ? restartFaults : allFaults)) {
        case 0:
        case 1:
            logFault("stop " + node);
            return m_environment.stopNode(node);
        case 2:
            logFault("kill " + node);
            return m_environment.killNode(node);
        case 3:
            logFault("pause " + node);
            m_environment.pauseNode(node);
            return scheduleEnd(duration, [this, node] { m_environment.resumeNode(node); });
        case 4:
            logFault("store down");
            m_environment.setStoreDown(true);
            return scheduleEnd(duration, [this] { m_environment.setStoreDown(false); });
        case 5:
            logFault("store loses answers");
            m_environment.setStoreLosingAnswers(true);
            return scheduleEnd(duration, [this] { m_environment.setStoreLosingAnswers(false); });
        case 6:
            logFault("store drops its history");
            return m_environment.dropStoreHistory();
        case 7:
            logFault("store link of " + node);
            m_environment.setStoreLink(node, randomLinkFault());
            return scheduleEnd(duration, [this, node] { m_environment.setStoreLink(node, {}); });
        case 8:
            logFault("link of " + upstream);
            m_environment.setUpstreamLink(upstream, randomLinkFault());
            return scheduleEnd(duration, [this, upstream] { m_environment.setUpstreamLink(upstream, {}); });
        case 9:
            return truncateAnswers(upstream, duration);
        case 10:
            logFault("crash " + upstream);
            m_environment.crashUpstream(upstream);
            return scheduleEnd(duration, [this, upstream] { m_environment.replaceUpstream(upstream); });
        case 11:
        case 12:
            logFault("drain " + upstream);
            m_environment.drainUpstream(upstream);
            return scheduleEnd(drainDuration, [this, upstream] { m_environment.replaceUpstream(upstream); });
        case 13:
            logFault("configuration");
            return m_environment.publishConfiguration();
        case 14:
            logFault("slow " + upstream);
            m_environment.slowUpstream(upstream, milliseconds(300 + pick(1500)));
            return scheduleEnd(duration, [this, upstream] { m_environment.restoreUpstream(upstream); });
        default:
            logFault("evacuate " + domain);
            m_environment.setEvacuated(domain, true);
            return scheduleEnd(duration, [this, domain] { m_environment.setEvacuated(domain, false); });
        }
    }

    /// Copies the store, and some time later takes it down and returns it to the copy.
    void startRestoration()
    {
        const auto age = milliseconds(200 + m_restorationRandom() % 1800);
        const auto outage = milliseconds(100 + m_restorationRandom() % 900);
        logFault("store restored from a copy");
        m_environment.copyStore();
        scheduleEnd(age, [this] { m_environment.setStoreDown(true); });
        scheduleEnd(age + outage, [this] {
            m_environment.restoreStore();
            m_environment.setStoreDown(false);
        });
    }

    void truncateAnswers(const std::string& upstream, milliseconds duration)
    {
        logFault("truncate answers of " + upstream);
        testing::link_fault fault;
        fault.resetAfterAnswerBytes = pick(900);
        m_environment.setUpstreamLink(upstream, fault);
        scheduleEnd(duration, [this, upstream] { m_environment.setUpstreamLink(upstream, {}); });
    }

    soak_environment& m_environment;
    soak_options m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_restorationRandom; ///< its own, so that a seed has the same other faults with and without
    std::multimap<monotonic_time, std::function<void()>> m_due;
};

std::string formatStatuses(const std::map<int, int>& statuses)
{
    std::string text;
    for (const auto& [status, count] : statuses)
        text += (text.empty() ? "" : " ") + std::to_string(status) + ":" + std::to_string(count);
    return text;
}

} // namespace

soak_result runSoak(const soak_options& options)
{
    soak_checker checker;
    soak_environment environment(options.nodes, options.upstreams, checker);
    if (!environment.waitUntilReady())
        return { { "not all nodes became ready" }, "" };
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < options.callers; ++i) {
        callers.emplace_back([&, i] { soak_caller(environment, checker, options.seed, i).run(isOver); });
    }
    const auto end = monotonicNow() + options.duration;
    fault_schedule(environment, options).run(end - recoveryTime);
    while (monotonicNow() < end) {
        environment.restartExitedNodes();
        std::this_thread::sleep_for(step);
    }
    isOver = true;
    for (auto& caller : callers)
        caller.join();
    checker.finish();
    return { checker.problems(), formatStatuses(checker.statuses()) };
}

} // namespace flamingoroute::soak
