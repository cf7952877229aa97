#include "soak/soak_run.hpp"

#include "soak/soak_judge.hpp"
#include "soak/soak_terms.hpp"
#include "soak/soak_world.hpp"
#include "support/process/http_caller.hpp"

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
constexpr milliseconds drainTime { 3500 }; ///< an upstream that drains serves on for longer than the bound
constexpr int requestsOnOneNode = 25;
/// Faults end this long before the run does, so that it also shows whether the nodes recover.
constexpr seconds recoveryTime { 6 };

/// Sends requests to one node after another, over connections that it keeps.
class soak_caller {
public:
    soak_caller(soak_world& world, soak_judge& judge, std::uint64_t seed, std::size_t number)
        : m_world(world)
        , m_judge(judge)
        , m_random(seed * 1000 + number)
        , m_name(std::to_string(seed) + "-" + std::to_string(number))
    {
    }

    void run(const std::atomic<bool>& isOver)
    {
        const auto nodes = m_world.nodeNames();
        while (!isOver) {
            const auto& node = nodes[m_random() % nodes.size()];
            testing::http_caller connection(m_world.callersOf(node), milliseconds { deadlineMs + 500 });
            bool isAnswered = true;
            for (int i = 0; i < requestsOnOneNode && isAnswered && !isOver; ++i) {
                isAnswered = sendOne(connection, node);
                std::this_thread::sleep_for(callerPause);
            }
        }
    }

private:
    bool sendOne(testing::http_caller& connection, const std::string& node)
    {
        sent_request request;
        request.id = m_name + "-" + std::to_string(++m_number);
        request.node = node;
        request.customer = m_random() % 4 == 0 ? terms::limitedCustomer : terms::openCustomer;
        const int version = m_world.version();
        request.keyVersion = m_random() % 10 == 0 && version > 1 ? version - 1 : version;
        request.key = soak_world::keyOf(request.customer, request.keyVersion);
        request.isOrder = m_random() % 3 == 0;
        request.sentAt = monotonicNow();
        m_judge.noteSent(request);
        const auto reply
            = connection.call(request.isOrder ? "POST" : "GET", (request.isOrder ? "/order/" : "/read/") + request.id,
                { { "Host", "counter.example" }, { "X-Flamingoroute-Request-Id", request.id },
                    { "X-Flamingoroute-Deadline-Remaining", std::to_string(deadlineMs) },
                    { "Authorization", "Bearer " + request.key } },
                request.isOrder ? "{}" : "");
        m_judge.noteReply(request.id, reply);
        return reply.status != 0;
    }

    soak_world& m_world;
    soak_judge& m_judge;
    std::mt19937_64 m_random;
    std::string m_name;
    int m_number = 0;
};

/// Begins and ends faults by the seed.
class fault_schedule {
public:
    fault_schedule(soak_world& world, const soak_options& options)
        : m_world(world)
        , m_options(options)
        , m_random(options.seed)
    {
    }

    void play(monotonic_time until)
    {
        auto next = monotonicNow();
        while (monotonicNow() < until) {
            runDue();
            m_world.startEndedNodes();
            if (monotonicNow() >= next) {
                begin();
                next = monotonicNow() + milliseconds(100 + pick(1100));
            }
            std::this_thread::sleep_for(step);
        }
        m_due.clear();
        m_world.heal();
    }

private:
    std::int64_t pick(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }

    std::string anyOf(const std::vector<std::string>& names)
    {
        return names[static_cast<std::size_t>(pick(static_cast<std::int64_t>(names.size())))];
    }

    void after(milliseconds delay, std::function<void()> end) { m_due.emplace(monotonicNow() + delay, std::move(end)); }

    void runDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= monotonicNow()) {
            const auto end = m_due.extract(m_due.begin());
            end.mapped()();
        }
    }

    void say(const std::string& what) const
    {
        if (m_options.isVerbose)
            std::cout << "fault: " << what << '\n';
    }

    testing::link_fault anyLinkFault()
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

    void begin()
    {
        const auto lasting = milliseconds(200 + pick(2800));
        const auto node = anyOf(m_world.nodeNames());
        const auto upstream = anyOf(m_world.upstreamNames());
        const auto domain = anyOf({ "centro-a", "centro-b", "oriente-a" });
        switch (pick(16)) {
        case 0:
        case 1:
            say("stop " + node);
            return m_world.stopNode(node);
        case 2:
            say("kill " + node);
            return m_world.killNode(node);
        case 3:
            say("pause " + node);
            m_world.pauseNode(node);
            return after(lasting, [this, node] { m_world.resumeNode(node); });
        case 4:
            say("store down");
            m_world.setStoreDown(true);
            return after(lasting, [this] { m_world.setStoreDown(false); });
        case 5:
            say("store loses answers");
            m_world.setStoreLosingAnswers(true);
            return after(lasting, [this] { m_world.setStoreLosingAnswers(false); });
        case 6:
            say("store drops its history");
            return m_world.dropStoreHistory();
        case 7:
            say("store link of " + node);
            m_world.setStoreLink(node, anyLinkFault());
            return after(lasting, [this, node] { m_world.setStoreLink(node, {}); });
        case 8:
            say("link of " + upstream);
            m_world.setUpstreamLink(upstream, anyLinkFault());
            return after(lasting, [this, upstream] { m_world.setUpstreamLink(upstream, {}); });
        case 9:
            return cutAnswers(upstream, lasting);
        case 10:
            say("crash " + upstream);
            m_world.crashUpstream(upstream);
            return after(lasting, [this, upstream] { m_world.replaceUpstream(upstream); });
        case 11:
        case 12:
            say("drain " + upstream);
            m_world.drainUpstream(upstream);
            return after(drainTime, [this, upstream] { m_world.replaceUpstream(upstream); });
        case 13:
            say("configuration");
            return m_world.publishConfiguration();
        case 14:
            say("slow " + upstream);
            m_world.slowUpstream(upstream, milliseconds(300 + pick(1500)));
            return after(lasting, [this, upstream] { m_world.restoreUpstream(upstream); });
        default:
            say("evacuate " + domain);
            m_world.setEvacuated(domain, true);
            return after(lasting, [this, domain] { m_world.setEvacuated(domain, false); });
        }
    }

    void cutAnswers(const std::string& upstream, milliseconds lasting)
    {
        say("cut answers of " + upstream);
        testing::link_fault fault;
        fault.resetAfterAnswerBytes = pick(900);
        m_world.setUpstreamLink(upstream, fault);
        after(lasting, [this, upstream] { m_world.setUpstreamLink(upstream, {}); });
    }

    soak_world& m_world;
    soak_options m_options;
    std::mt19937_64 m_random;
    std::multimap<monotonic_time, std::function<void()>> m_due;
};

std::string textOf(const std::map<int, int>& statuses)
{
    std::string text;
    for (const auto& [status, count] : statuses)
        text += (text.empty() ? "" : " ") + std::to_string(status) + ":" + std::to_string(count);
    return text;
}

} // namespace

soak_result playSoak(const soak_options& options)
{
    soak_judge judge;
    soak_world world(options.nodes, options.upstreams, judge);
    if (!world.waitUntilReady())
        return { { "not all nodes became ready" }, "" };
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < options.callers; ++i) {
        callers.emplace_back([&, i] { soak_caller(world, judge, options.seed, i).run(isOver); });
    }
    const auto end = monotonicNow() + options.duration;
    fault_schedule(world, options).play(end - recoveryTime);
    while (monotonicNow() < end) {
        world.startEndedNodes();
        std::this_thread::sleep_for(step);
    }
    isOver = true;
    for (auto& caller : callers)
        caller.join();
    judge.finish();
    return { judge.problems(), textOf(judge.statuses()) };
}

} // namespace flamingoroute::soak
