#include "flamingoroute/runtime/request_guards.hpp"

#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/runtime/member_directory.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <algorithm>
#include <thread>

namespace flamingoroute {

namespace {

constexpr milliseconds connectTimeout { 300 };
constexpr milliseconds callTimeout { 1000 };
constexpr milliseconds stopTimeout { 3000 };

http_object_store_settings storeSettings(const instance_settings& settings)
{
    http_object_store_settings result;
    result.platform = settings.platformAddress;
    result.client = settings.self.instance.value() + "/" + settings.self.failureDomain.value();
    result.connectTimeout = connectTimeout;
    result.callTimeout = callTimeout;
    return result;
}

} // namespace

request_guards::request_guards(
    const instance_settings& settings, incarnation localIncarnation, const member_directory& directory, peer_bus& bus)
    : m_store(storeSettings(settings))
    , m_claims(m_store, settings.self.instance.value() + "/" + std::to_string(localIncarnation), {},
          [&directory] { return static_cast<int>(directory.all().size()); })
    , m_random(std::random_device {}())
    , m_quarantine({}, quarantineHooks(settings.self.instance, directory, bus))
{
}

void request_guards::addTo(pipeline_hooks& hooks)
{
    hooks.claim = [this](const auto& customer, const auto& request, const auto& requestedService, auto deadline) {
        return m_claims.claim(customer, requestedService.name, request, deadline);
    };
    hooks.settleClaim = [this](const auto&, const auto& request, auto execution, const auto& answer) {
        m_claims.settle(request, execution, answer);
    };
    hooks.checkQuarantine = [this](const auto& customer, const auto& matchedRoute, const auto& request) {
        return m_quarantine.check(customer, matchedRoute, request);
    };
    hooks.recordBrokenAttempt
        = [this](const auto& customer, const auto& matchedRoute, const auto& request, const auto& target) {
              m_quarantine.recordBroken(customer, matchedRoute, request, target.name);
          };
    hooks.sleepUntil = [](monotonic_time until) { std::this_thread::sleep_until(until); };
    hooks.recordAnsweredAttempt = [this](const auto& customer, const auto& matchedRoute, const auto& request) {
        m_quarantine.recordAnswered(customer, matchedRoute, request);
    };
}

void request_guards::registerWith(message_router& router)
{
    router.on(message_kind::quarantine_notice, [this](const envelope& message) {
        const auto notice = unpackMessage<quarantine_notice>(message.body);
        if (notice)
            m_quarantine.receive(*notice);
    });
}

void request_guards::start() { m_claims.start(); }

void request_guards::stop() { m_claims.stop(stopTimeout); }

quarantine_hooks request_guards::quarantineHooks(
    const instance_id& localInstance, const member_directory& directory, peer_bus& bus)
{
    quarantine_hooks hooks;
    hooks.now = monotonicNow;
    hooks.choosePeers
        = [this, localInstance, &directory](std::size_t count) { return choosePeers(localInstance, directory, count); };
    hooks.send = [&directory, &bus](const instance_id& to, const quarantine_notice& notice) {
        const auto address = directory.addressOf(to, process_role::entry);
        if (address)
            bus.send(*address, message_kind::quarantine_notice, packMessage(notice));
    };
    return hooks;
}

std::vector<instance_id> request_guards::choosePeers(
    const instance_id& localInstance, const member_directory& directory, std::size_t count)
{
    std::vector<instance_id> peers;
    for (const auto& known : directory.all()) {
        if (known.instance != localInstance)
            peers.push_back(known.instance);
    }
    const std::lock_guard lock(m_mutex);
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

} // namespace flamingoroute
