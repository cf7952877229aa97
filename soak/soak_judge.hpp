#ifndef FLAMINGOROUTE_SOAK_SOAK_JUDGE_HPP
#define FLAMINGOROUTE_SOAK_SOAK_JUDGE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "support/process/http_reply.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace flamingoroute::soak {

/// A request as its caller sends it.
struct sent_request {
    std::string id;
    std::string node;
    std::string key;
    int keyVersion = 0; ///< grows with the configurations; each holds one key a customer
    std::string customer; ///< whose key it is
    bool isOrder = false; ///< must not run twice
    monotonic_time sentAt;
};

/// A request as an upstream sees it.
struct arrived_request {
    std::string id;
    std::string upstream;
    std::string customer; ///< as the node named it
    bool hasKey = false; ///< the caller's key came along
};

/// Holds what callers and upstreams see against what is promised. Safe to use from many threads.
class soak_judge {
public:
    /// The time that a node is given after a fault before promises with a time bound hold for it again.
    static constexpr milliseconds calmAfter { 4500 };
    static constexpr milliseconds drainBound { 2500 };
    static constexpr milliseconds configurationBound { 2500 };

    void noteSent(const sent_request& request);
    /// @return false if the request must not be run: no caller sent it
    bool noteArrived(const arrived_request& request);
    void noteReply(const std::string& id, const testing::http_reply& reply);

    /// Told that @p node may be late or broken until @p until; an empty name speaks of all nodes.
    void noteTrouble(const std::string& node, monotonic_time until);
    /// Told that what @p node suffered has ended just now.
    void endTrouble(const std::string& node);
    /// Told that the process of @p node runs no more, or that another one begins.
    void noteNewProcess(const std::string& node);
    /// Told that @p node was asked to stop; until it has ended it must answer what it has read.
    void noteStopping(const std::string& node, bool isStopping);
    /// Told that an upstream leaves.
    void noteLeaving(const std::string& upstream);
    /// Told that @p key is not in the configuration any more, since a newer one is.
    void noteKeyWithdrawn(const std::string& key);
    void noteProblem(const std::string& what);

    /// Looks once more at what can only be told at the end.
    void finish();

    std::vector<std::string> problems() const;
    /// @return replies by status, for a look at whether the run tried anything
    std::map<int, int> statuses() const;

private:
    struct known_request {
        sent_request sent;
        int runs = 0;
        int status = -1;
    };

    struct newest_key {
        int version = 0;
        monotonic_time acceptedAt;
    };

    bool isCalm(const std::string& node, monotonic_time now) const;
    void add(const std::string& what);
    void checkRate(const std::string& customer, monotonic_time now);
    void checkReply(known_request& known, const testing::http_reply& reply);
    void checkKey(const known_request& known, monotonic_time now);

    mutable std::mutex m_mutex;
    std::map<std::string, known_request> m_requests;
    std::map<std::string, monotonic_time> m_troubleUntil;
    std::map<std::string, monotonic_time> m_leavingSince;
    std::map<std::string, monotonic_time> m_withdrawnAt;
    monotonic_time m_newestKeyAt; ///< when the newest keys came into a configuration
    std::map<std::string, newest_key> m_newestKeys; ///< by node: what its process has accepted
    std::map<std::string, bool> m_isStopping;
    std::deque<monotonic_time> m_limitedRuns;
    std::deque<monotonic_time> m_firsts;
    std::deque<monotonic_time> m_repeats;
    std::vector<std::string> m_problems;
    std::map<int, int> m_statuses;
};

/// @return the body that an upstream answers @p id with
std::string bodyFor(const std::string& id);

} // namespace flamingoroute::soak

#endif
