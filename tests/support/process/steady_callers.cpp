#include "steady_callers.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <memory>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds maxLookupAge { 300 };
constexpr milliseconds pauseAfterFailure { 20 };

} // namespace

steady_callers::steady_callers(
    const fleet& system, int count, std::string method, std::string target, milliseconds pause)
    : m_system(system)
    , m_method(std::move(method))
    , m_target(std::move(target))
    , m_pause(pause)
{
    for (int i = 0; i < count; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

steady_callers::~steady_callers() { stop(); }

caller_tally steady_callers::stop()
{
    m_isStopping = true;
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    const std::lock_guard lock(m_mutex);
    return m_tally;
}

std::vector<endpoint> steady_callers::lookUp(const std::vector<endpoint>& known) const
{
    for (const auto& where : known) {
        const auto reply = callOnce(where, "GET", "/flamingo/v1/instances", {}, "", milliseconds { 500 });
        const auto object = reply.status == 200 ? parseJsonObject(reply.body, "lookup") : tl::unexpected(error {});
        if (!object)
            continue;
        std::vector<endpoint> found;
        const auto lines = (*object)->getArray("instances");
        for (std::size_t i = 0; i < lines->size(); ++i) {
            endpoint address;
            const auto line = lines->getObject(static_cast<unsigned>(i));
            if (parseEndpoint(line->getValue<std::string>("address"), address))
                found.push_back(address);
        }
        if (!found.empty())
            return found;
    }
    return known;
}

void steady_callers::recordReply(const std::string& id, const http_reply& reply)
{
    const std::lock_guard lock(m_mutex);
    ++m_tally.sent;
    ++m_tally.countByStatus[reply.status];
    const std::string execution = reply.header("Flamingo-Execution");
    if (reply.status == 0 || execution == "unknown")
        m_tally.unknownIds.push_back(id);
    else if (execution == "not-run")
        m_tally.notRunIds.push_back(id);
    else
        m_tally.answeredIds.push_back(id);
    const bool isAnswer = reply.status == 200 && execution.empty();
    if (isAnswer && reply.body.find("\"request_id\":\"" + id + "\"") == std::string::npos)
        ++m_tally.mismatchedAnswers;
}

void steady_callers::run(int number)
{
    std::vector<endpoint> all;
    for (const auto& instance : m_system.instances())
        all.push_back(m_system.callerAddress(instance));
    std::rotate(all.begin(), all.begin() + number % static_cast<int>(all.size()), all.end());
    std::vector<endpoint> known = all;
    auto lookedUpAt = monotonicNow() - seconds { 10 };
    std::unique_ptr<http_caller> caller;
    endpoint used;
    std::size_t next = 0;
    for (int sent = 0; !m_isStopping; ++sent) {
        if (monotonicNow() - lookedUpAt > maxLookupAge) {
            known = lookUp(known);
            if (known.empty())
                known = all;
            lookedUpAt = monotonicNow();
            next = static_cast<std::size_t>(number);
        }
        const endpoint target = known[next % known.size()];
        if (!caller || target != used) {
            caller = std::make_unique<http_caller>(target, milliseconds { 8000 });
            used = target;
        }
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(sent);
        const auto reply = caller->call(m_method, m_target,
            { { "X-Api-Key", fleet::keyOf("ronda") }, { "Test-Request-Id", id }, { "Idempotency-Key", id } });
        recordReply(id, reply);
        if (reply.status == 0) {
            ++next;
            std::this_thread::sleep_for(pauseAfterFailure);
        }
        std::this_thread::sleep_for(m_pause);
    }
}

} // namespace flamingoroute::testing
