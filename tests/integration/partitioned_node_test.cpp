#include "support/platform/platform_node_fixture.hpp"
#include "support/process/http_caller.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

void answerRequests(raw_upstream& self, Poco::Net::StreamSocket& connection, int)
{
    for (auto request = self.readRequest(connection); !request.empty(); request = self.readRequest(connection))
        raw_upstream::send(connection,
            "HTTP/1.1 200 OK\r\nX-Flamingoroute-Request-Id: " + headerIn(request, "X-Flamingoroute-Request-Id")
                + "\r\nX-Flamingoroute-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone");
}

/// A node with a store and upstreams of its own, so that it alone loses them.
struct linked_node {
    platform_store_stand_in store;
    std::vector<std::unique_ptr<raw_upstream>> upstreams;
    std::string name;
    std::unique_ptr<platform_node> node;

    linked_node(const std::string& nodeName, const std::string& domain)
        : name(nodeName)
    {
        store.put("config", "main", configurationText(1, "k1"));
        connect();
        node = std::make_unique<platform_node>(name, store.address(), domain);
    }

    void connect()
    {
        for (const std::string upstream : { "u-1", "u-2", "u-3" }) {
            upstreams.push_back(std::make_unique<raw_upstream>(answerRequests));
            store.put("servers", upstream, upstreamText(*upstreams.back()));
        }
    }

    /// Resets the connections to all upstreams; new ones are refused.
    void partition() { upstreams.clear(); }

    int requestCount() const
    {
        int count = 0;
        for (const auto& upstream : upstreams)
            count += upstream->requestCount();
        return count;
    }

    std::string registration() const
    {
        return R"({"failure_domain":"centro-a","region":"centro","callers":")" + toString(node->callers())
            + R"(","peers":")" + toString(node->peers()) + R"(","forwards":")" + toString(node->forwards()) + "\"}";
    }

    bool names(const linked_node& other) const
    {
        const auto lookup
            = callOnce(node->lookups(), "GET", "/resolve?name=counter.example&region=centro&zone=centro-a");
        return lookup.body.find(toString(other.node->callers())) != std::string::npos;
    }

    bool hasLogged(const std::string& event) const { return node->log().find("event=" + event) != std::string::npos; }
};

/// Two nodes with the same upstreams, which know each other.
class partitioned_node_test : public ::testing::Test {
protected:
    void SetUp() override // NOLINT(readability-identifier-naming)
    {
        m_first.store.put("flamingoroute-members", m_second.name, m_second.registration());
        m_second.store.put("flamingoroute-members", m_first.name, m_first.registration());
        ASSERT_TRUE(m_first.node->waitUntilReady());
        ASSERT_TRUE(m_second.node->waitUntilReady());
        ASSERT_TRUE(waitFor([&] { return m_first.names(m_second) && m_second.names(m_first); }));
        for (int i = 0; i < 4; ++i)
            ASSERT_EQ(m_first.node->send("before-" + std::to_string(i), "k1", "GET", "/read/1").status, 200);
    }

    linked_node m_first { "node-1", "centro-a" };
    linked_node m_second { "node-2", "centro-a" };
};

} // namespace

// RECOVER: callers of an instance that had lost its links to the upstreams were refused.
TEST_F(partitioned_node_test, serves_its_callers_through_another_node_and_leaves_the_lookups_until_it_reaches_upstreams)
{
    m_first.partition();
    ASSERT_TRUE(waitFor([&] {
        m_first.node->send("meanwhile", "k1", "GET", "/read/1");
        return m_first.hasLogged("upstreams.partitioned");
    }));
    for (int i = 0; i < 20; ++i) {
        const auto id = std::to_string(i);
        const auto read = m_first.node->send("read-" + id, "k1", "GET", "/read/" + id);
        EXPECT_EQ(read.status, 200) << read.body;
        EXPECT_EQ(read.body, "done");
        const auto order = m_first.node->send("order-" + id, "k1", "POST", "/order/" + id, "{}");
        EXPECT_EQ(order.status, 200) << order.body;
    }
    EXPECT_EQ(m_first.node->send("wrong-key", "k2", "GET", "/read/1").status, 401);
    EXPECT_EQ(callOnce(m_first.node->readiness(), "GET", "/readiness").status, 200);
    EXPECT_TRUE(waitFor([&] { return !m_first.names(m_first) && !m_second.names(m_first); }));
    EXPECT_TRUE(m_first.names(m_second));
    m_first.connect();
    EXPECT_TRUE(waitFor([&] { return m_first.hasLogged("upstreams.reached"); }));
    EXPECT_TRUE(waitFor([&] { return m_first.names(m_first) && m_second.names(m_first); }));
    EXPECT_EQ(m_first.node->send("after", "k1", "GET", "/read/1").status, 200);
    EXPECT_EQ(m_first.requestCount(), 1);
}

TEST_F(partitioned_node_test, refuses_at_once_and_stays_in_the_lookups_while_no_node_reaches_an_upstream)
{
    m_first.partition();
    m_second.partition();
    for (const auto* one : { &m_first, &m_second })
        ASSERT_TRUE(waitFor([&] {
            one->node->send("meanwhile", "k1", "GET", "/read/1");
            return one->hasLogged("upstreams.partitioned");
        }));
    const auto refused = m_first.node->send("refused", "k1", "POST", "/order/1", "{}");
    EXPECT_EQ(refused.status, 503);
    EXPECT_NE(refused.header("Retry-After"), "");
    EXPECT_TRUE(waitFor([&] { return m_first.names(m_first) && m_first.names(m_second); }));
    m_first.connect();
    EXPECT_TRUE(waitFor([&] { return m_first.node->send("healed", "k1", "GET", "/read/1").status == 200; }));
}

} // namespace flamingoroute::testing
