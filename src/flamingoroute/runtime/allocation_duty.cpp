#include "flamingoroute/runtime/allocation_duty.hpp"

#include "flamingoroute/limits/lease_notice.hpp"
#include "flamingoroute/limits/message_batches.hpp"
#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/event_log.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t storeRingCapacity = 1024;
constexpr milliseconds tickInterval { 50 };

} // namespace

allocation_duty::allocation_duty(instance_id localInstance, incarnation localIncarnation,
    const limit_settings& settings, object_store& store, message_sender send,
    std::function<std::vector<member>()> members)
    : m_allocator(std::move(localInstance), localIncarnation, settings)
    , m_store(store)
    , m_send(std::move(send))
    , m_members(std::move(members))
    , m_thread(
          ringCapacity, tickInterval,
          [this](const std::function<void()>& event) {
              event();
              flush();
          },
          [this] { tick(); })
    , m_storeThread(
          storeRingCapacity, tickInterval,
          [this](const store_call& call) {
              const auto answer = execute(call);
              m_thread.post([this, answer] { m_allocator.onStoreResult(monotonicNow(), answer); });
          },
          [] {})
{
}

void allocation_duty::registerWith(message_router& router)
{
    for (const auto kind : { message_kind::usage_report, message_kind::lease_notice })
        router.on(kind, [this](const envelope& message) { m_thread.post([this, message] { onMessage(message); }); });
}

void allocation_duty::adopt(const configuration& current)
{
    m_thread.post([this, rates = current.rates, number = current.number] { m_allocator.onLimits(rates, number); });
}

void allocation_duty::start()
{
    m_storeThread.start();
    m_thread.start();
}

void allocation_duty::stop()
{
    m_thread.stop();
    m_storeThread.stop();
}

void allocation_duty::onMessage(const envelope& message)
{
    if (message.kind == message_kind::usage_report && message.role == process_role::entry) {
        const auto reports = unpackMessage<std::vector<usage_report>>(message.body);
        for (const auto& report : reports.value_or(std::vector<usage_report> {}))
            m_allocator.onReport(monotonicNow(), message.from, report);
    } else if (message.kind == message_kind::lease_notice && message.role == process_role::control) {
        const auto notice = unpackMessage<lease_notice>(message.body).value_or(lease_notice {});
        for (const auto& ping : notice.pings)
            m_allocator.onPing(monotonicNow(), message.from, ping);
    }
}

void allocation_duty::tick()
{
    m_allocator.onMembers(m_members());
    m_allocator.tick(monotonicNow());
    flush();
}

void allocation_duty::flush()
{
    sendBatches(m_allocator.takeMessages(), m_send);
    for (auto& call : m_allocator.takeStoreCalls()) {
        const store_result failed { call.customer, store_outcome::failed, std::nullopt, 0 };
        if (!m_storeThread.post(std::move(call)))
            m_allocator.onStoreResult(monotonicNow(), failed);
    }
}

store_result allocation_duty::readTable(const store_call& call)
{
    const auto object = m_store.get(allocationKind, call.customer.value());
    if (!object && object.error().code == error_code::not_found)
        return { call.customer, store_outcome::absent, std::nullopt, 0 };
    if (!object)
        return { call.customer, store_outcome::failed, std::nullopt, 0 };
    const auto table = parseTable(object->value);
    if (!table) {
        event_line(log_level::warn, "limits.table-unreadable").with("customer", call.customer.value());
        return { call.customer, store_outcome::failed, std::nullopt, 0 };
    }
    return { call.customer, store_outcome::done, *table, object->version };
}

store_result allocation_duty::execute(const store_call& call)
{
    if (!call.write)
        return readTable(call);
    const auto& name = call.customer.value();
    const auto value = formatTable(*call.write);
    const auto written = call.expected == 0 ? m_store.create(allocationKind, name, value)
                                            : m_store.update(allocationKind, name, value, call.expected);
    if (written)
        return { call.customer, store_outcome::done, std::nullopt, *written };
    const bool isConflict = written.error().code == error_code::conflict;
    return { call.customer, isConflict ? store_outcome::conflict : store_outcome::failed, std::nullopt, 0 };
}

} // namespace flamingoroute
