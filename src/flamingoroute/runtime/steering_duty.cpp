#include "flamingoroute/runtime/steering_duty.hpp"

#include "flamingoroute/report/event_log.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t exchangeRing = 8192;
constexpr milliseconds exchangeTick { 10 };
constexpr milliseconds leaseTick { 1000 };
constexpr milliseconds leaseLifetime { 4000 };
constexpr milliseconds probeTick { 1000 };
constexpr milliseconds probeTimeout { 500 };
constexpr std::size_t watchersPerDomain = 2;
constexpr std::uint64_t stepsBetweenIdleChecks = 10; // for instances that are not watchers

probe_answer readHealth(Poco::Net::HTTPClientSession& session)
{
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/health", Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(false);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    auto& body = session.receiveResponse(response);
    probe_answer answer;
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        return answer;
    Poco::JSON::Parser parser;
    const auto health = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    answer.isReached = true;
    answer.isLeaving = health->optValue<std::string>("status", "ok") == "leaving";
    answer.load = health->optValue<double>("load", -1);
    return answer;
}

probe_answer probe(const upstream& target)
{
    try {
        Poco::Net::HTTPClientSession session(target.address.address, target.address.port);
        const Poco::Timespan timeout(microseconds(probeTimeout).count());
        session.setTimeout(timeout, timeout, timeout);
        return readHealth(session);
    } catch (const std::exception&) {
        return {};
    }
}

} // namespace

steering_duty::steering_duty(upstream_pool& pool, object_store& store, const member& self, incarnation localIncarnation,
    std::function<std::vector<member>()> members)
    : m_pool(pool)
    , m_self(self)
    , m_members(std::move(members))
    , m_lease(store, self.failureDomain, { self.instance, localIncarnation }, leaseLifetime, leaseHooks())
    , m_exchange(
          exchangeRing, exchangeTick, [this](const envelope& message) { m_pool.receive(message); },
          [this] { m_pool.tick(); })
    , m_leaseThread(
          1, leaseTick, [](int) {}, [this] { stepLease(); })
    , m_probes(
          1, probeTick, [](int) {}, [this] { probeAll(); })
{
}

allocator_lease_hooks steering_duty::leaseHooks()
{
    allocator_lease_hooks hooks;
    hooks.begin = [this](const allocator_role& role) {
        event_line(log_level::info, "steering.allocator-began").with("epoch", role.epoch);
        m_pool.beginAllocating(role);
    };
    hooks.end = [this] {
        event_line(log_level::info, "steering.allocator-ended").with("domain", m_self.failureDomain.value());
        m_pool.endAllocating();
    };
    hooks.confirm = [this](monotonic_time requestedAt) { m_pool.confirmLease(requestedAt); };
    hooks.recordHolder = [this](const auto& holder, auto epoch) { m_pool.updateAllocator(holder, epoch); };
    hooks.hasReserve = [this] { return m_pool.hasReserve(); };
    return hooks;
}

void steering_duty::start()
{
    m_exchange.start();
    m_leaseThread.start();
    m_probes.start();
}

void steering_duty::stop()
{
    m_probes.stop();
    m_leaseThread.stop();
    m_exchange.stop();
    if (m_lease.isHeld()) {
        m_pool.endAllocating();
        m_lease.release();
    }
}

/// @return the number of instances of the failure domain that precede this one as watchers of the lease
std::size_t steering_duty::rank() const
{
    const auto known = m_members();
    return static_cast<std::size_t>(std::count_if(known.begin(), known.end(), [this](const member& who) {
        return who.failureDomain == m_self.failureDomain && who.instance < m_self.instance;
    }));
}

void steering_duty::stepLease()
{
    m_pool.setMembers(m_members());
    const bool isWatcher = rank() < watchersPerDomain;
    if (m_lease.isHeld() || isWatcher || m_leaseSteps % stepsBetweenIdleChecks == 0)
        m_lease.step(monotonicNow);
    ++m_leaseSteps;
}

void steering_duty::probeAll()
{
    for (const auto& target : m_pool.upstreamsToProbe())
        m_pool.recordProbe(target.name, probe(target));
}

} // namespace flamingoroute
