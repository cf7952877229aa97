#include "flamingoroute/runtime/control_node.hpp"

#include "flamingoroute/admin/admin_server.hpp"
#include "flamingoroute/admin/commands/configuration_commands.hpp"
#include "flamingoroute/admin/commands/key_commands.hpp"
#include "flamingoroute/admin/commands/move_commands.hpp"
#include "flamingoroute/admin/queries/configuration_queries.hpp"
#include "flamingoroute/config/config_publisher.hpp"
#include "flamingoroute/moves/move_progress.hpp"
#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/config_poll.hpp"
#include "flamingoroute/runtime/configuration_holder.hpp"
#include "flamingoroute/runtime/incarnation_clock.hpp"
#include "flamingoroute/runtime/key_table.hpp"
#include "flamingoroute/runtime/member_directory.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/runtime/moves_duty.hpp"
#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/store/http_object_store.hpp"

#include <Poco/UUIDGenerator.h>

#include <mutex>

namespace flamingoroute {

namespace {

constexpr milliseconds adminStopPatience { 1000 };

http_object_store_settings storeSettings(const instance_settings& settings)
{
    http_object_store_settings result;
    result.platform = settings.platformAddress;
    result.client = settings.self.instance.value() + "/" + settings.self.failureDomain.value();
    return result;
}

} // namespace

struct control_node::parts {
    explicit parts(instance_settings given)
        : settings(std::move(given))
        , own(newIncarnation())
        , bus(settings.self.instance, process_role::control, own)
        , store(storeSettings(settings))
        , publisher(store, settings.self.instance.value() + "/" + std::to_string(own))
        , moves(move_settings {}, settings.self.instance, own, store, movesHooks())
    {
        directory.put(settings.self);
        for (const auto& peer : settings.peers)
            directory.put(peer);
        publisher.setMerger(withProgress);
    }

    configuration_access access();
    moves_duty_hooks movesHooks();
    key_hooks keys(const std::string& pepper) const;

    instance_settings settings;
    incarnation own;
    member_directory directory;
    message_router router;
    peer_bus bus;
    configuration_holder holder;
    http_object_store store;
    std::mutex publisherMutex;
    config_publisher publisher;
    moves_duty moves;
    std::unique_ptr<config_poll> config;
    std::unique_ptr<admin_server> admin;
};

moves_duty_hooks control_node::parts::movesHooks()
{
    moves_duty_hooks hooks;
    hooks.currentConfiguration = [this] { return holder.get(); };
    hooks.members = [this] { return directory.ids(); };
    hooks.send = [this](const instance_id& to, process_role role, message_kind kind, std::string body) {
        if (const auto address = directory.addressOf(to, role))
            bus.send(*address, kind, std::move(body));
    };
    return hooks;
}

configuration_access control_node::parts::access()
{
    configuration_access result;
    result.current = [this] { return holder.get(); };
    result.publish = [this](const configuration& objects, std::optional<revision> expected) {
        const std::lock_guard lock(publisherMutex);
        return publisher.publish(objects, expected);
    };
    result.edit = [this](const std::vector<configuration_edit>& edits, std::optional<revision> expected) {
        const std::lock_guard lock(publisherMutex);
        return publisher.publishEdits(edits, expected);
    };
    return result;
}

key_hooks control_node::parts::keys(const std::string& pepper) const
{
    key_hooks hooks;
    hooks.generate = [] { return Poco::UUIDGenerator::defaultGenerator().createRandom().toString(); };
    hooks.hash = [pepper](const std::string& key) { return key_table::hash(pepper, key); };
    return hooks;
}

control_node::control_node(instance_settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings)))
{
}

control_node::~control_node() = default;

tl::expected<void, error> control_node::start()
{
    auto& p = *m_parts;
    const auto pepper = key_table::readPepper(p.settings.keyPepperFile);
    if (!pepper)
        return tl::unexpected(pepper.error());
    const auto tokenText = readFile(p.settings.control.operatorTokenFile);
    if (!tokenText)
        return tl::unexpected(tokenText.error());
    auto tokens = operator_tokens::parse(*tokenText, p.settings.control.operatorTokenFile);
    if (!tokens)
        return tl::unexpected(tokens.error());
    p.moves.registerWith(p.router);
    const auto listening
        = p.bus.listen(p.settings.self.controlAddress, [&p](const envelope& message) { p.router.route(message); });
    if (!listening)
        return listening;
    admin_registry registry;
    addConfigurationCommands(registry, p.access());
    addKeyCommands(registry, p.access(), p.keys(*pepper));
    addMoveCommands(registry, p.access());
    addConfigurationQueries(registry, p.access());
    p.admin = std::make_unique<admin_server>(std::move(*tokens), std::move(registry));
    p.config
        = std::make_unique<config_poll>(p.settings, [&p](const configuration_ptr& current) { p.holder.set(current); });
    p.moves.start();
    const auto started = p.admin->start(p.settings.control.adminAddress);
    if (!started)
        return started;
    event_line(log_level::info, "control.started").with("admin", toString(p.settings.control.adminAddress));
    return {};
}

void control_node::stop()
{
    auto& p = *m_parts;
    p.admin->stop(adminStopPatience);
    p.moves.stop();
    p.config.reset();
    p.bus.stop();
    event_line(log_level::info, "control.stopped");
}

} // namespace flamingoroute
