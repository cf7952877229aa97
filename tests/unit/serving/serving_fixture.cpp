#include "unit/serving/serving_fixture.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace flamingoroute::testing {

namespace {

header_names testHeaders()
{
    header_names names;
    names.requestId = "X-Request";
    names.remainingTime = "X-Remaining";
    names.objectKey = "X-Object";
    names.customer = "X-Customer";
    names.expectedUpstream = "X-Expected";
    names.notRun = "X-Not-Run";
    names.load = "X-Load";
    names.remainingColdTime = "X-Cold";
    names.requestLimit = "X-Limit";
    names.leaving = "X-Leaving";
    names.upstreamName = "X-Upstream";
    names.signature = "X-Signature";
    return names;
}

node_settings testSettings()
{
    node_settings settings;
    settings.instance = instance_id("entry-1");
    settings.failureDomain = failure_domain_id("centro-a");
    settings.region = region_id("centro");
    settings.regions = { { failure_domain_id("centro-a"), region_id("centro") },
        { failure_domain_id("oriente-a"), region_id("oriente") } };
    settings.bounds.retrySlack = 50;
    return settings;
}

routing_rule ruleAt(const std::string& name, const std::string& prefix, bool isIdempotent)
{
    routing_rule rule;
    rule.name = name;
    rule.host = "counter.example";
    rule.pathPrefix = prefix;
    rule.isIdempotent = isIdempotent;
    rule.timeout = milliseconds(3000);
    rule.objective = milliseconds(1000);
    rule.maxAttempts = 2;
    rule.shares = { { service_id("mostrador"), 1 } };
    return rule;
}

http_request requestTo(const std::string& method, const std::string& target)
{
    http_request request;
    request.method = method;
    request.target = target;
    request.headers = { { "Host", "counter.example" }, { "X-Request", "id-1" }, { "X-Remaining", "5000" },
        { "Authorization", "Bearer secret" } };
    return request;
}

} // namespace

serving_fixture::serving_fixture()
    : state(loop, testSettings(), testHeaders(), member {})
{
    configuration.version = 1;
    configuration.rules = { ruleAt("read", "/read/", true), ruleAt("order", "/order/", false) };
    customer_policy customer;
    customer.name = customer_id("ronda");
    customer.keys = { "secret" };
    configuration.requiresKeys = true;
    configuration.customers = { customer };
    service_policy service;
    service.name = service_id("mostrador");
    configuration.services = { service };
    apply();
}

void serving_fixture::apply() { state.table = std::make_shared<const routing_table>(configuration); }

void serving_fixture::addUpstream(
    const std::string& name, const raw_upstream& target, const std::string& domain, const std::string& version)
{
    registered_upstream entry;
    entry.name = upstream_id(name);
    entry.service = service_id("mostrador");
    entry.version = version_id(version);
    entry.failureDomain = failure_domain_id(domain);
    entry.address = target.target().address;
    entry.slots = 4;
    state.upstreams.apply(entry, monotonicNow());
    state.versions.recordVersion(entry.service, entry.version, true, monotonicNow());
}

http_request serving_fixture::readRequest() { return requestTo("GET", "/read/17"); }

http_request serving_fixture::orderRequest()
{
    auto request = requestTo("POST", "/order/17");
    request.body = "{\"amount\":50}";
    return request;
}

std::shared_ptr<caller_exchange> serving_fixture::begin(http_request request, request_origin origin)
{
    lastAnswer.reset();
    auto exchange = std::make_shared<caller_exchange>();
    exchange->request = std::move(request);
    exchange->arrivedAt = monotonicNow();
    exchange->answer = [this](caller_answer answer, bool) { lastAnswer = std::move(answer); };
    std::make_shared<request_flow>(state, exchange, origin)->start();
    return exchange;
}

std::optional<caller_answer> serving_fixture::serve(http_request request)
{
    constexpr milliseconds step { 10 };
    constexpr seconds answerTimeout { 10 };
    const auto exchange = begin(std::move(request));
    const auto until = monotonicNow() + answerTimeout;
    while (!lastAnswer && monotonicNow() < until)
        run(step);
    return lastAnswer;
}

void serving_fixture::serveReads(int count)
{
    for (int i = 0; i < count; ++i) {
        auto request = readRequest();
        request.target += "-" + std::to_string(i);
        request.headers[1].value = "id-" + std::to_string(i);
        ASSERT_TRUE(serve(request));
    }
}

void serving_fixture::run(milliseconds time)
{
    const auto until = monotonicNow() + time;
    loop.restart();
    loop.run_for(time);
    // Without pending work, run_for() returns at once.
    std::this_thread::sleep_until(until);
}

raw_upstream::script answering(const std::string& status, const std::string& extraHeaders)
{
    return [=](raw_upstream& self, Poco::Net::StreamSocket& connection, int) {
        for (auto request = self.readRequest(connection); !request.empty(); request = self.readRequest(connection))
            raw_upstream::send(connection, signedAnswer(request, status, extraHeaders));
    };
}

std::string signedAnswer(const std::string& request, const std::string& status, const std::string& extraHeaders)
{
    return "HTTP/1.1 " + status + "\r\nX-Request: " + headerIn(request, "X-Request") + "\r\nX-Signature: s\r\n"
        + extraHeaders + "Content-Length: 4\r\n\r\ndone";
}

} // namespace flamingoroute::testing
