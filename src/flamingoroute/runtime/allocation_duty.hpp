#ifndef FLAMINGOROUTE_RUNTIME_ALLOCATION_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_ALLOCATION_DUTY_HPP

#include "flamingoroute/limits/allocator.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <functional>
#include <vector>

namespace flamingoroute {

/// Runs the allocator of a control process. Store calls run on a separate thread, so that a slow platform does not
/// delay grants.
class allocation_duty {
public:
    /// @param store called from one thread
    /// @param members returns the known instances, including this one; called from the duty's thread
    allocation_duty(instance_id localInstance, incarnation localIncarnation, const limit_settings& settings,
        object_store& store, message_sender send, std::function<std::vector<member>()> members);

    /// Subscribes to usage_report and lease_notice.
    void registerWith(message_router& router);

    /// Applies the rates and bursts of a configuration.
    void adopt(const configuration& current);

    void start();
    void stop();

private:
    void onMessage(const envelope& message);
    void tick();
    void flush();
    store_result execute(const store_call& call);
    store_result readTable(const store_call& call);

    allocator m_allocator;
    object_store& m_store;
    message_sender m_send;
    std::function<std::vector<member>()> m_members;
    duty_thread<std::function<void()>> m_thread;
    duty_thread<store_call> m_storeThread;
};

} // namespace flamingoroute

#endif
