#include "load_run.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <istream>
#include <memory>
#include <ostream>
#include <thread>
#include <unistd.h>

namespace flamingoroute::bench {

namespace {

constexpr int firstErrorStatus = 400;
constexpr int callTimeoutSeconds = 15;

/// One connection and its measurements.
class load_connection {
public:
    load_connection(const load_options& options, int number)
        : m_options(options)
        , m_number(number)
    {
    }

    void run(monotonic_time startAt)
    {
        const auto endAt = startAt + m_options.duration;
        const microseconds interval = intervalBetweenRequests();
        auto dueAt = startAt + interval * m_number / std::max(1, m_options.connections);
        while (dueAt < endAt) {
            std::this_thread::sleep_until(dueAt);
            const int status = sendOne();
            const auto now = monotonicNow();
            ++m_countByStatus[status];
            if (status != 0)
                m_latencies.push_back(now - dueAt);
            if (status != 0 && status < firstErrorStatus)
                m_goodLatencies.push_back(now - dueAt);
            dueAt = interval > microseconds { 0 } ? dueAt + interval : now;
        }
    }

    void addTo(load_result& result) const
    {
        for (const auto& [status, count] : m_countByStatus)
            result.countByStatus[status] += count;
        result.latencies.insert(result.latencies.end(), m_latencies.begin(), m_latencies.end());
        result.goodLatencies.insert(result.goodLatencies.end(), m_goodLatencies.begin(), m_goodLatencies.end());
    }

private:
    microseconds intervalBetweenRequests() const
    {
        if (m_options.requestsPerSecond <= 0)
            return microseconds { 0 };
        const double microsecondsPerSecond = 1e6;
        return microseconds(
            static_cast<std::int64_t>(microsecondsPerSecond * m_options.connections / m_options.requestsPerSecond));
    }

    void connect()
    {
        if (m_session)
            return;
        const auto& target = m_options.targets[static_cast<std::size_t>(m_number) % m_options.targets.size()];
        m_session = std::make_unique<Poco::Net::HTTPClientSession>(target.address, target.port);
        m_session->setKeepAlive(true);
        m_session->setKeepAliveTimeout(Poco::Timespan(3600, 0));
        m_session->setTimeout(Poco::Timespan(callTimeoutSeconds, 0));
    }

    void addRequestId(Poco::Net::HTTPRequest& request)
    {
        const std::string id
            = std::to_string(getpid()) + "-" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
        request.set("Test-Request-Id", id);
        if (m_options.method == "POST")
            request.set("Idempotency-Key", id);
    }

    /// @return the HTTP status, or 0 if no complete answer was received
    int sendOne()
    {
        try {
            connect();
            Poco::Net::HTTPRequest request(m_options.method, m_options.path, Poco::Net::HTTPMessage::HTTP_1_1);
            for (const auto& header : m_options.headers)
                request.set(header.name, header.value);
            if (m_options.isNumbered)
                addRequestId(request);
            request.setKeepAlive(true);
            if (!m_options.body.empty() || m_options.method == "POST")
                request.setContentLength(static_cast<std::streamsize>(m_options.body.size()));
            m_session->sendRequest(request) << m_options.body << std::flush;
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(m_session->receiveResponse(response), body);
            const int status = response.getStatus();
            if (!response.getKeepAlive())
                m_session.reset();
            return status;
        } catch (const Poco::Exception&) {
            m_session.reset();
            return 0;
        }
    }

    const load_options& m_options;
    int m_number;
    std::uint64_t m_sent = 0;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    std::map<int, std::uint64_t> m_countByStatus;
    std::vector<microseconds> m_latencies;
    std::vector<microseconds> m_goodLatencies;
};

} // namespace

load_result runLoad(const load_options& options)
{
    std::vector<std::unique_ptr<load_connection>> connections;
    for (int i = 0; i < options.connections; ++i)
        connections.push_back(std::make_unique<load_connection>(options, i));
    const auto startAt = monotonicNow();
    std::vector<std::thread> threads;
    for (auto& connection : connections)
        threads.emplace_back([&connection, startAt] { connection->run(startAt); });
    for (auto& thread : threads)
        thread.join();
    load_result result;
    const double microsecondsPerSecond = 1e6;
    result.elapsedSeconds = static_cast<double>((monotonicNow() - startAt).count()) / microsecondsPerSecond;
    for (const auto& connection : connections)
        connection->addTo(result);
    std::sort(result.latencies.begin(), result.latencies.end());
    std::sort(result.goodLatencies.begin(), result.goodLatencies.end());
    return result;
}

} // namespace flamingoroute::bench
