#include "flamingoroute/runtime/control_node.hpp"

#include "flamingoroute/admin/admin_server.hpp"
#include "flamingoroute/admin/commands/configuration_commands.hpp"
#include "flamingoroute/admin/commands/key_commands.hpp"
#include "flamingoroute/admin/commands/move_commands.hpp"
#include "flamingoroute/admin/queries/burn_query.hpp"
#include "flamingoroute/admin/queries/configuration_queries.hpp"
#include "flamingoroute/admin/queries/status_query.hpp"
#include "flamingoroute/config/config_publisher.hpp"
#include "flamingoroute/keys/key_hasher.hpp"
#include "flamingoroute/keys/key_secret.hpp"
#include "flamingoroute/keys/withdrawals.hpp"
#include "flamingoroute/moves/move_progress.hpp"
#include "flamingoroute/peers/incarnation_filter.hpp"
#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/allocation_duty.hpp"
#include "flamingoroute/runtime/burn_collector.hpp"
#include "flamingoroute/runtime/config_sync.hpp"
#include "flamingoroute/runtime/incarnation_clock.hpp"
#include "flamingoroute/runtime/member_directory.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/runtime/moves_duty.hpp"
#include "flamingoroute/runtime/node_wiring.hpp"
#include "flamingoroute/runtime/small_fleet.hpp"
#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/store/http_object_store.hpp"
#include "flamingoroute/store/lease_record.hpp"

#include <mutex>

namespace flamingoroute {

namespace {

constexpr milliseconds adminStopTimeout { 1000 };

} // namespace

struct control_node::parts {
    explicit parts(instance_settings given)
        : settings(std::move(given))
        , localIncarnation(newIncarnation())
        , bus(settings.self.instance, process_role::control, localIncarnation)
        , store(storeSettings(settings))
        , publisher(store, settings.self.instance.value() + "/" + std::to_string(localIncarnation))
        , allocation(settings.self.instance, localIncarnation, limitSettingsFor(settings), store,
              senderTo(directory, bus), [this] { return directory.all(); })
        , moves(move_settings {}, settings.self.instance, localIncarnation, store, movesHooks())
    {
        directory.put(settings.self);
        for (const auto& peer : settings.peers)
            directory.put(peer);
        publisher.setMerger(withProgress);
    }

    configuration_access access();
    status_access status();
    tl::expected<std::vector<lease_status>, error> leases();
    moves_duty_hooks movesHooks();
    key_hooks keys(const std::string& pepper) const;
    void broadcastWithdrawals(const configuration_ptr& before, const configuration& after, revision number) const;

    instance_settings settings;
    incarnation localIncarnation;
    member_directory directory;
    message_router router;
    peer_bus bus;
    incarnation_filter filter; ///< used by the bus's thread only
    http_object_store store;
    burn_collector burn;
    std::mutex publisherMutex;
    config_publisher publisher;
    allocation_duty allocation;
    std::unique_ptr<config_sync> config;
    moves_duty moves;
    std::unique_ptr<admin_server> admin;
};

moves_duty_hooks control_node::parts::movesHooks()
{
    moves_duty_hooks hooks;
    hooks.currentConfiguration = [this] { return config ? config->current() : nullptr; };
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
    result.current = [this] { return config->current(); };
    result.publish = [this](const configuration& objects, std::optional<revision> expected) {
        const std::lock_guard lock(publisherMutex);
        const auto before = config->current();
        const auto done = publisher.publish(objects, expected, config->position().number);
        if (done)
            broadcastWithdrawals(before, objects, *done);
        return done;
    };
    result.edit = [this](const std::vector<configuration_edit>& edits, std::optional<revision> expected) {
        const std::lock_guard lock(publisherMutex);
        const auto before = config->current();
        const auto done = publisher.publishEdits(edits, expected, config->position().number);
        const auto after = done && before ? applyEdits(*before, edits) : configuration {};
        if (done && after)
            broadcastWithdrawals(before, *after, *done);
        return done;
    };
    return result;
}

/// Sends the keys that the publication withdraws to all entries, ahead of the configuration.
void control_node::parts::broadcastWithdrawals(
    const configuration_ptr& before, const configuration& after, revision number) const
{
    if (!before)
        return;
    for (const auto& withdrawal : withdrawalsBetween(*before, after, number)) {
        event_line(log_level::info, "key.withdrawn").with("key", withdrawal.key).with("revision", number);
        for (const auto& known : directory.all())
            config->send(known.instance, process_role::entry, message_kind::key_withdrawal, packMessage(withdrawal));
    }
}

status_access control_node::parts::status()
{
    status_access result;
    result.activeRevision = [this] { return config->position().number; };
    result.members = [this] { return config->members(); };
    result.leases = [this] { return leases(); };
    return result;
}

tl::expected<std::vector<lease_status>, error> control_node::parts::leases()
{
    const auto stored = store.list(leaseKind);
    if (!stored)
        return tl::unexpected(stored.error());
    std::vector<lease_status> result;
    for (const auto& object : *stored) {
        const auto record = parseLease(object.value);
        if (record)
            result.push_back(
                { object.name, record->isReleased ? "" : record->holder, epochOf(*record, object.version) });
    }
    return result;
}

key_hooks control_node::parts::keys(const std::string& pepper) const
{
    key_hooks hooks;
    hooks.generate = generateKey;
    hooks.hash = [hasher = key_hasher(pepper)](const std::string& key) { return hasher.hash(key); };
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
    const auto pepper = readKeyPepper(p.settings.keyPepperFile);
    if (!pepper)
        return tl::unexpected(pepper.error());
    const auto tokenText = readFile(p.settings.control.operatorTokenFile);
    if (!tokenText)
        return tl::unexpected(tokenText.error());
    auto tokens = operator_tokens::parse(*tokenText, p.settings.control.operatorTokenFile);
    if (!tokens)
        return tl::unexpected(tokens.error());
    config_sync_hooks hooks;
    hooks.onAdopted = [&p](const configuration_ptr& current) {
        p.allocation.adopt(*current);
        event_line(log_level::info, "config.adopted").with("revision", current->number);
    };
    p.config = std::make_unique<config_sync>(p.settings.self, process_role::control, p.localIncarnation,
        p.settings.peers, p.directory, p.bus, &p.store, hooks);
    p.config->registerWith(p.router);
    p.moves.registerWith(p.router);
    p.router.on(message_kind::burn_usage, [&p](const envelope& message) { p.burn.update(message); });
    p.allocation.registerWith(p.router);
    p.allocation.start();
    const auto listening = p.bus.listen(p.settings.self.controlAddress, [&p](const envelope& message) {
        if (p.filter.accept(message))
            p.router.route(message);
    });
    if (!listening)
        return listening;
    admin_registry registry;
    addConfigurationCommands(registry, p.access());
    addKeyCommands(registry, p.access(), p.keys(*pepper));
    addMoveCommands(registry, p.access());
    addConfigurationQueries(registry, p.access());
    addStatusQuery(registry, p.status());
    addBurnQuery(registry, [&p] {
        const auto current = p.config->current();
        return p.burn.report(current ? *current : configuration {}, p.config->members());
    });
    p.admin = std::make_unique<admin_server>(std::move(*tokens), std::move(registry));
    p.config->start();
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
    p.admin->stop(adminStopTimeout);
    p.moves.stop();
    p.config->stop();
    p.allocation.stop();
    p.bus.stop();
    event_line(log_level::info, "control.stopped");
}

} // namespace flamingoroute
