#include "flamingoroute/runtime/config_poll.hpp"

#include "flamingoroute/config/config_publisher.hpp"
#include "flamingoroute/store/http_object_store.hpp"

namespace flamingoroute {

namespace {

constexpr milliseconds pollInterval { 500 };

}

config_poll::config_poll(const instance_settings& settings, std::function<void(const configuration_ptr&)> onAdopted)
    : m_thread([this, settings, onAdopted] {
        http_object_store_settings where;
        where.platform = settings.platformAddress;
        where.client = settings.self.instance.value();
        http_object_store store(where);
        config_publisher publisher(store, settings.self.instance.value());
        revision inForce = 0;
        while (!m_isStopping) {
            const auto published = publisher.read();
            if (published && published->head.number > inForce) {
                inForce = published->head.number;
                auto next = std::make_shared<configuration>(published->objects);
                next->number = inForce;
                onAdopted(next);
            }
            std::this_thread::sleep_for(pollInterval);
        }
    })
{
}

config_poll::~config_poll()
{
    m_isStopping = true;
    m_thread.join();
}

} // namespace flamingoroute
