#include "flamingoroute/runtime/config_duty.hpp"

#include "flamingoroute/config/config_messages.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <random>

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr milliseconds tick { 50 };

config_replica::random_pick makePick()
{
    return [engine = std::mt19937(std::random_device {}())](std::size_t bound) mutable { return engine() % bound; };
}

config_source sourceOf(const envelope& message) { return config_source { message.from, message.role }; }

} // namespace

config_duty::config_duty(replica_settings settings, config_duty_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_replica(settings, monotonicNow(), makePick())
    , m_thread(
          ringCapacity, tick, [this](const replica_event& event) { run(event); },
          [this] { run([](config_replica& replica, monotonic_time now) { return replica.onTick(now); }); })
{
}

config_duty::~config_duty() { stop(); }

void config_duty::registerWith(message_router& router)
{
    for (const auto kind : { message_kind::config_offer, message_kind::head_request, message_kind::chunk_request,
             message_kind::chunk_reply })
        router.on(kind, [this](const envelope& message) { onMessage(message); });
}

void config_duty::start() { m_thread.start(); }

void config_duty::stop() { m_thread.stop(); }

void config_duty::setPeers(replica_peers peers)
{
    m_thread.post([peers = std::move(peers)](config_replica& replica, monotonic_time) {
        replica.setPeers(peers);
        return replica_actions {};
    });
}

void config_duty::onStoreHead(std::string value)
{
    m_thread.post([value = std::move(value)](
                      config_replica& replica, monotonic_time now) { return replica.onStoreHead(value, now); });
}

void config_duty::onContent(std::string hash, std::string content)
{
    m_thread.post([hash = std::move(hash), content = std::move(content)](
                      config_replica& replica, monotonic_time now) { return replica.onContent(hash, content, now); });
}

configuration_ptr config_duty::current() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_published;
}

config_position config_duty::position() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_position;
}

config_position config_duty::storePosition() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_storePosition;
}

void config_duty::onMessage(const envelope& message)
{
    m_thread.post([message](config_replica& replica, monotonic_time now) -> replica_actions {
        const auto from = sourceOf(message);
        if (message.kind == message_kind::config_offer) {
            const auto offer = unpackMessage<config_offer>(message.body);
            return offer ? replica.onOffer(from, *offer, now) : replica_actions {};
        }
        if (message.kind == message_kind::head_request) {
            const auto request = unpackMessage<head_request>(message.body);
            return request ? replica.onRequest(from, { request->hash }) : replica_actions {};
        }
        if (message.kind == message_kind::chunk_request) {
            const auto request = unpackMessage<chunk_request>(message.body);
            return request ? replica.onRequest(from, request->hashes) : replica_actions {};
        }
        const auto reply = unpackMessage<chunk_reply>(message.body);
        return reply ? replica.onContent(reply->hash, reply->content, now) : replica_actions {};
    });
}

void config_duty::run(const replica_event& event)
{
    for (const auto& action : event(m_replica, monotonicNow()))
        perform(action);
    m_isReady = m_replica.isReady();
    const std::lock_guard lock(m_publishedMutex);
    m_storePosition = m_replica.storePosition();
}

void config_duty::perform(const replica_action& action)
{
    std::visit([this](const auto& wanted) { perform(wanted); }, action);
}

void config_duty::perform(const send_offer& action)
{
    m_hooks.send(action.to.instance, action.to.role, message_kind::config_offer, packMessage(action.offer));
}

void config_duty::perform(const fetch_head& action)
{
    if (!action.from.isStore())
        m_hooks.send(action.from.instance, action.from.role, message_kind::head_request,
            packMessage(head_request { action.hash }));
    else if (m_hooks.readHead)
        m_hooks.readHead();
}

void config_duty::perform(const fetch_chunks& action)
{
    if (!action.from.isStore())
        m_hooks.send(action.from.instance, action.from.role, message_kind::chunk_request,
            packMessage(chunk_request { action.hashes }));
    else if (m_hooks.readChunks)
        m_hooks.readChunks(action.hashes);
}

void config_duty::perform(const send_content& action)
{
    m_hooks.send(action.to.instance, action.to.role, message_kind::chunk_reply, packMessage(action.reply));
}

void config_duty::perform(const adopt_configuration& action)
{
    // Heartbeats confirm the position, so it is updated after the hook that activates the configuration.
    if (m_hooks.onAdopted)
        m_hooks.onAdopted(action.objects, action.position);
    const std::lock_guard lock(m_publishedMutex);
    m_published = action.objects;
    m_position = action.position;
}

void config_duty::perform(const report_fault& action)
{
    if (m_hooks.onError)
        m_hooks.onError(action.fault);
}

} // namespace flamingoroute
