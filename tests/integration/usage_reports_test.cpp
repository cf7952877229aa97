#include "support/platform/platform_node_fixture.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace flamingoroute::testing {

namespace {

/// The platform's service for reports. Judges what it receives as the rule ONE does.
class report_service {
public:
    report_service()
        : m_server([this](auto& self, auto& connection, int) {
            for (auto call = self.readRequest(connection); !call.empty(); call = self.readRequest(connection)) {
                record(call);
                raw_upstream::send(connection, sizedAnswer(""));
            }
        })
    {
    }

    std::string address() const { return toString(m_server.target().address); }

    std::size_t windows() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bodies.size();
    }

    std::size_t holders() const
    {
        const std::lock_guard lock(m_mutex);
        return m_holders.size();
    }

    std::string lastHolder() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lastHolder;
    }

    std::string violations() const
    {
        const std::lock_guard lock(m_mutex);
        return m_violations;
    }

private:
    void record(const std::string& call)
    {
        const std::lock_guard lock(m_mutex);
        const auto body = call.substr(call.find("\r\n\r\n") + 4);
        const auto window = body.substr(0, body.find(','));
        const auto holder = headerIn(call, "X-Flamingoroute-Duty-Holder");
        const auto token = std::stoull(headerIn(call, "X-Flamingoroute-Fencing-Token"));
        if (m_bodies.try_emplace(window, body).first->second != body)
            m_violations += "other counts: " + body + "; ";
        if (m_holderOfToken.try_emplace(token, holder).first->second != holder)
            m_violations += "two holders of one token; ";
        if (token < m_highestToken)
            m_violations += "a lower token; ";
        m_highestToken = std::max(m_highestToken, token);
        m_lastHolder = holder;
        m_holders.insert(holder);
    }

    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_bodies;
    std::map<unsigned long long, std::string> m_holderOfToken;
    std::set<std::string> m_holders;
    std::string m_lastHolder;
    std::string m_violations;
    unsigned long long m_highestToken = 0;
    raw_upstream m_server;
};

std::string usageSettings(const report_service& service)
{
    return "report_window = \"1s\"\nusage_late = \"6s\"\nlease_time = \"1500ms\"\nthaw_slack = \"300ms\"\n"
           "[platform.cloud]\naddress = \""
        + service.address() + "\"\nduties = [\"usage_reporting\"]\nduties_per_s = 50.0\n";
}

} // namespace

TEST_F(platform_node_test, reports_usage_by_one_holder_at_a_time_also_after_the_holder_was_paused)
{
    node.reset();
    report_service service;
    std::map<std::string, std::unique_ptr<platform_node>> nodes;
    for (const std::string name : { "node-a", "node-b", "node-c" })
        nodes[name] = std::make_unique<platform_node>(
            name, store.address(), "centro-a", platform_node_limits {}, usageSettings(service));
    for (const auto& [name, each] : nodes)
        ASSERT_TRUE(each->waitUntilReady());
    std::atomic<bool> isDone = false;
    std::thread caller([&] {
        for (int i = 0; !isDone; ++i) {
            nodes.at("node-c")->send("u-" + std::to_string(i), "k1", "GET", "/read/" + std::to_string(i));
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    EXPECT_TRUE(waitFor([&] { return service.windows() >= 2; }));
    auto& holder = nodes.at(service.lastHolder())->process();
    holder.signal(SIGSTOP);
    const auto hasSecondHolder = [&] { return service.holders() >= 2; };
    EXPECT_TRUE(waitFor(hasSecondHolder) || waitFor(hasSecondHolder));
    holder.signal(SIGCONT);
    const auto windows = service.windows();
    EXPECT_TRUE(waitFor([&] { return service.windows() >= windows + 2; }));
    isDone = true;
    caller.join();
    EXPECT_EQ(service.violations(), "");
}

} // namespace flamingoroute::testing
