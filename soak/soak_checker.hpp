#ifndef FLAMINGOROUTE_SOAK_SOAK_CHECKER_HPP
#define FLAMINGOROUTE_SOAK_SOAK_CHECKER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "support/process/http_reply.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace flamingoroute::soak {

/// A request as sent by its caller.
struct sent_request {
    std::string id;
    std::string node;
    std::string key;
    int keyVersion = 0; ///< increases with each configuration; each has one key per customer
    std::string customer; ///< owner of the key
    bool isOrder = false; ///< must not run more than once
    monotonic_time sentAt;
};

/// A request as received by an upstream.
struct arrived_request {
    std::string id;
    std::string upstream;
    std::string customer; ///< as named in the node's request header
    bool hasKey = false; ///< the caller's key was forwarded
};

/// Checks what callers and upstreams observe against the guarantees of the system. Thread-safe.
class soak_checker {
public:
    /// Time that a node has to recover after a fault before guarantees with a time bound are checked for it again.
    static constexpr milliseconds recoveryBound { 4500 };
    static constexpr milliseconds drainBound { 2500 };
    static constexpr milliseconds configurationBound { 2500 };

    void recordSent(const sent_request& request);
    /// @return false if the request must not be run because no caller sent it
    bool recordArrived(const arrived_request& request);
    void recordReply(const std::string& id, const testing::http_reply& reply);

    /// Records that @p node may be slow or faulty until @p until; an empty name means all nodes.
    void recordDisruption(const std::string& node, monotonic_time until);
    /// Records that the disruption of @p node ends now.
    void endDisruption(const std::string& node);
    /// Called when the process of @p node has exited, before another one starts.
    void recordNewProcess(const std::string& node);
    /// Called when @p node is requested to stop; until its process exits, it must answer the requests it has read.
    void recordStopping(const std::string& node, bool isStopping);
    /// Called when an upstream starts to leave or is removed; the first call counts.
    void recordLeaving(const std::string& upstream);
    /// Called when a newer configuration no longer contains @p key.
    void recordKeyWithdrawn(const std::string& key);
    void recordProblem(const std::string& what);

    /// Runs the checks that are only possible at the end of the run.
    void finish();

    std::vector<std::string> problems() const;
    /// @return number of replies by status, which shows whether the run exercised the system
    std::map<int, int> statuses() const;

private:
    struct tracked_request {
        sent_request sent;
        int runs = 0;
        int status = -1;
    };

    struct newest_key {
        int version = 0;
        monotonic_time acceptedAt;
    };

    bool isStable(const std::string& node, monotonic_time now) const;
    void add(const std::string& what);
    void checkRate(const std::string& customer, monotonic_time now);
    void checkReply(tracked_request& known, const testing::http_reply& reply);
    void checkKey(const tracked_request& known, monotonic_time now);

    mutable std::mutex m_mutex;
    std::map<std::string, tracked_request> m_requests;
    std::map<std::string, monotonic_time> m_disruptedUntil;
    std::map<std::string, monotonic_time> m_leavingSince;
    std::map<std::string, monotonic_time> m_withdrawnAt;
    monotonic_time m_newestKeyAt; ///< when the newest keys were added to a configuration
    std::map<std::string, newest_key> m_newestKeys; ///< by node: the newest key that its process has accepted
    std::map<std::string, bool> m_isStopping;
    std::deque<monotonic_time> m_limitedRuns;
    std::deque<monotonic_time> m_firstAttempts;
    std::deque<monotonic_time> m_retries;
    std::vector<std::string> m_problems;
    std::map<int, int> m_statuses;
};

/// @return the body of an upstream's answer to request @p id
std::string expectedBody(const std::string& id);

} // namespace flamingoroute::soak

#endif
