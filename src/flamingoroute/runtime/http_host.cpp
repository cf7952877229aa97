#include "flamingoroute/runtime/http_host.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <thread>

namespace flamingoroute {

namespace {

constexpr int listenBacklog = 1024;
constexpr milliseconds stopPoll { 10 };

class function_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit function_handler(const http_host::request_handler& handler)
        : m_handler(handler)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        m_handler(request, response);
    }

private:
    const http_host::request_handler& m_handler;
};

class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit function_handler_factory(http_host::request_handler handler)
        : m_handler(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new function_handler(m_handler);
    }

private:
    http_host::request_handler m_handler;
};

class active_request_guard {
public:
    explicit active_request_guard(std::atomic<int>& active)
        : m_active(active)
    {
        ++m_active;
    }

    ~active_request_guard() { --m_active; }
    active_request_guard(const active_request_guard&) = delete;
    active_request_guard& operator=(const active_request_guard&) = delete;

private:
    std::atomic<int>& m_active;
};

Poco::Timespan timespanOf(milliseconds duration) { return Poco::Timespan(duration.count() * 1000); }

} // namespace

struct http_host::state {
    std::atomic<int> activeRequests { 0 };
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

http_host::http_host()
    : m_state(std::make_unique<state>())
{
}

http_host::~http_host() { stop(milliseconds { 0 }); }

tl::expected<void, error> http_host::start(
    const endpoint& where, const http_host_options& options, request_handler handler)
{
    try {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        params->setMaxThreads(options.threads);
        params->setMaxQueued(options.queuedConnections);
        params->setTimeout(timespanOf(options.timeout));
        params->setKeepAlive(true);
        params->setKeepAliveTimeout(timespanOf(options.keepAliveTimeout));
        params->setMaxKeepAliveRequests(0);
        const Poco::Net::SocketAddress address(where.address, where.port);
        const Poco::Net::ServerSocket socket(address, listenBacklog);
        const int spareThreads = 2;
        m_state->threads = std::make_unique<Poco::ThreadPool>(2, options.threads + spareThreads);
        auto counting = [this, handler = std::move(handler)](auto& request, auto& response) {
            const active_request_guard counted(m_state->activeRequests);
            handler(request, response);
        };
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new function_handler_factory(std::move(counting)));
        m_state->server = std::make_unique<Poco::Net::HTTPServer>(factory, *m_state->threads, socket, params);
        m_state->server->start();
    } catch (const Poco::Exception& problem) {
        return tl::unexpected(error { error_code::unavailable, "http.listen", toString(where), problem.displayText() });
    }
    return {};
}

void http_host::stop(milliseconds timeout)
{
    if (!m_state->server)
        return;
    m_state->server->stop();
    const auto deadline = monotonicNow() + timeout;
    while (m_state->activeRequests > 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(stopPoll);
    const bool isAbortingRequests = m_state->activeRequests > 0;
    m_state->server->stopAll(isAbortingRequests);
    m_state->threads->joinAll();
    m_state->server.reset();
}

int http_host::connectionCount() const { return m_state->server ? m_state->server->currentConnections() : 0; }

} // namespace flamingoroute
