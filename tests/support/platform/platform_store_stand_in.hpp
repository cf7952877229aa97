#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_STORE_STAND_IN_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_STORE_STAND_IN_HPP

#include "flamingoroute/model/endpoint.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServer;
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace flamingoroute::testing {

/// In-memory HTTP implementation of the platform's metadata store API: lists, watches and conditional writes.
class platform_store_stand_in {
public:
    platform_store_stand_in();
    ~platform_store_stand_in();

    /// An object as its writer specifies it.
    struct specified_object {
        std::string kind;
        std::string name;
        std::string specification;
    };

    endpoint address() const { return m_address; }

    /// Creates an object or replaces its specification, like a write by the operator or an upstream.
    /// @param finalizers JSON, in the object's metadata
    void put(const std::string& kind, const std::string& name, const std::string& specification,
        const std::string& finalizers = "[]");
    void remove(const std::string& kind, const std::string& name);

    /// @return the status of an object, or an empty string
    std::string statusOf(const std::string& kind, const std::string& name) const;

    /// @return the names of the objects of a kind
    std::vector<std::string> names(const std::string& kind) const;

    /// While set, every call is answered with 503.
    void setDown(bool isDown) { m_isDown = isDown; }

    /// While set, writes take effect but receive no answer.
    void setLosingAnswers(bool isLosing) { m_isLosingAnswers = isLosing; }

    /// While set, calls receive no answer. Those made meanwhile receive none later either, as in a silent outage.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

    /// Keeps a copy of all objects and of the revision counter.
    void copy();

    /// Returns to the last copy: the store forgets what was written since, gives out its revisions again and begins a
    /// new era. Watches from a revision that it does not have then fail with 410.
    /// @param rewritten written again before any call is answered
    void restore(const std::vector<specified_object>& rewritten = {});

    /// Makes watches from a revision before the current one fail with 410, as after a compaction of the history.
    void dropHistory();

private:
    struct held_object {
        std::uint64_t revision = 0;
        std::string specification;
        std::string status;
        std::string finalizers = "[]";
    };

    struct store_copy {
        std::map<std::string, std::map<std::string, held_object>> objects;
        std::uint64_t revision = 0;
    };

    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool isDeleted = false;
        held_object object;
    };

    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    std::uint64_t eraNow() const;
    void waitWhileSilent() const;
    std::string read(const std::string& kind, const std::string& name, int& status) const;
    std::string list(const std::string& kind) const;
    std::string watch(const std::string& kind, std::uint64_t after, int waitMs, int& status);
    std::string write(
        const std::string& method, const std::vector<std::string>& path, const std::string& body, int& status);
    void specify(const specified_object& specified, const std::string& finalizers = "[]");
    void store(const std::string& kind, const std::string& name, const held_object& object, bool isDeleted);
    static std::string toJson(const std::string& name, const held_object& object);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, held_object>> m_objects;
    std::vector<change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_era = 1;
    store_copy m_copy;
    std::atomic<bool> m_isDown { false };
    std::atomic<bool> m_isLosingAnswers { false };
    std::atomic<bool> m_isSilent { false };
    std::atomic<bool> m_isStopping { false };
    endpoint m_address;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace flamingoroute::testing

#endif
