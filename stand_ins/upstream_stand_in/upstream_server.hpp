#ifndef STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_SERVER_HPP
#define STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_SERVER_HPP

#include "upstream_faults.hpp"
#include "upstream_options.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace flamingoroute::stand_ins {

/// An upstream for tests and the demo: runs requests in slots, reports load and health, sheds, drains, injects the
/// requested faults, and counts the requests that it ran.
///
/// A request is identified by its Test-Request-Id header, or else by its Idempotency-Key.
/// Test-Crash: NAME terminates the process if NAME is "any" or the upstream's version.
class upstream_server {
public:
    explicit upstream_server(upstream_options options);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    /// Rejects new requests from now on. Called on SIGTERM or SIGINT.
    void leave();

    /// @return the number of running requests
    int runningCount() const { return m_running; }

private:
    void delayNewConnection(const std::string& client);
    void answerHealth(Poco::Net::HTTPServerResponse& response);
    void answerStats(Poco::Net::HTTPServerResponse& response);
    void setFaults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void runRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void shed(Poco::Net::HTTPServerResponse& response, bool isLeaving);
    bool tryAcquireSlot();
    bool simulateWork(Poco::Net::HTTPServerRequest& request, const upstream_faults& faults, int running);
    void countSecrets(const Poco::Net::HTTPServerRequest& request, const std::string& body);
    upstream_faults consumeFaults();
    double load() const;
    void addCommonHeaders(Poco::Net::HTTPServerResponse& response);

    upstream_options m_options;
    mutable std::mutex m_mutex;
    upstream_faults m_faults;
    std::map<std::string, int> m_runsById;
    std::set<std::string> m_knownClients;
    std::atomic<int> m_running { 0 };
    std::atomic<int> m_maxRunning { 0 };
    std::atomic<int> m_runs { 0 };
    std::atomic<int> m_shed { 0 };
    std::atomic<int> m_cancelled { 0 };
    std::atomic<int> m_probes { 0 };
    std::atomic<int> m_secretsSeen { 0 };
    std::atomic<std::uint64_t> m_requests { 0 };
};

} // namespace flamingoroute::stand_ins

#endif
