#include "support/platform/platform_node_fixture.hpp"

#include <thread>

namespace flamingoroute::testing {

namespace {

void answerRequests(raw_upstream& self, Poco::Net::StreamSocket& connection, int)
{
    for (auto request = self.readRequest(connection); !request.empty(); request = self.readRequest(connection)) {
        if (request.find("/silent") != std::string::npos) {
            self.waitForClose(connection);
            return;
        }
        if (request.find("/slow") != std::string::npos)
            std::this_thread::sleep_for(milliseconds(500));
        raw_upstream::send(connection,
            "HTTP/1.1 200 OK\r\nX-Flamingoroute-Request-Id: " + headerIn(request, "X-Flamingoroute-Request-Id")
                + "\r\nX-Flamingoroute-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone");
    }
}

} // namespace

platform_node_test::platform_node_test()
    : upstream(answerRequests)
{
    store.put("config", "main", configurationText(1, "k1"));
    store.put("servers", "u-1", upstreamText(upstream));
    node = std::make_unique<platform_node>("node-1", store.address());
}

void platform_node_test::SetUp() { ASSERT_TRUE(node->waitUntilReady()); }

std::string configurationText(int version, const std::string& key)
{
    return R"({"version":"r)" + std::to_string(version)
        + R"(","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","attempts",)"
          R"("service"],"rows":[["read","counter.example","/read/","idempotent","1000ms","400ms",2,2,"counter"],)"
          R"(["order","counter.example","/order/","non_idempotent","1000ms","400ms",1,2,"counter"]]},)"
          R"("services":{"columns":["name","health_check_path","connection_limit","cold_start","cold_per_s"],)"
          R"("rows":[["counter","/health",300,"3s",6]]},)"
          R"("limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},)"
          R"("tenants":{"columns":["name","api_keys","requests_per_s","burst"],"rows":[["ronda",[")"
        + key + R"("],null,null]]}})";
}

std::string upstreamText(const raw_upstream& upstream)
{
    return R"({"service":"counter","address":")" + toString(upstream.target().address)
        + R"(","zone":"centro-a","version":"v1","slots":4,"state":"ready","cold_remaining":"0ms","sequence":1,"born":7})";
}

std::vector<http_header> requestHeaders(const std::string& id, const std::string& key)
{
    return { { "Host", "counter.example" }, { "X-Flamingoroute-Request-Id", id },
        { "X-Flamingoroute-Deadline-Remaining", "3000" }, { "Authorization", "Bearer " + key } };
}

bool waitFor(const std::function<bool()>& condition)
{
    constexpr milliseconds step { 20 };
    constexpr int tries = 400;
    for (int i = 0; i < tries; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(step);
    }
    return false;
}

} // namespace flamingoroute::testing
