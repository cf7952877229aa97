#include "config_fleet.hpp"
#include "support/scenario/world_registry.hpp"

#include "flamingoroute/config/config_publisher.hpp"
#include "flamingoroute/keys/withdrawals.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

using outcome = tl::expected<void, scenario_error>;
using words = std::vector<std::string>;

outcome fail(const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { 0, word, detail });
}

/// The world of configuration and keys. Commands:
///
///     instances N in M domains
///     put key NAME | put customer NAME | withdraw key NAME     publishes one change
///     race A B                                                  two writers publish on the same revision
///     platform down|up | platform loses commit answer
///     dump platform | restore platform
///     cut DOMAIN from platform|peers | heal
///     sleep|wake|restart|remember|rollback INSTANCE
///     expect all|INSTANCE revision N | expect never lower | expect INSTANCE ready | expect INSTANCE reports
///     expect key NAME accepted|refused at all|INSTANCE | expect race won by one | expect at most N calls
class config_world : public scenario_world {
public:
    explicit config_world(std::uint64_t seed)
        : m_fleet(seed)
        , m_publisher(m_fleet.store, "operator")
    {
    }

    void advanceTo(microseconds now) override { m_fleet.advanceTo(now); }

    outcome run(const scenario_command& command) override
    {
        const auto& line = command.words;
        const std::string& verb = line[0];
        if (verb == "expect")
            return expect(line);
        if (verb == "instances" && line.size() == 5)
            m_fleet.build(std::stoi(line[1]), std::stoi(line[3]));
        else if (verb == "put" && line.size() == 3)
            return put(line[1], line[2]);
        else if (verb == "withdraw" && line.size() == 3)
            return publish({ keyEdit(line[2], true) });
        else if (verb == "race" && line.size() == 3)
            return race(line[1], line[2]);
        else if (verb == "platform")
            return platform(line);
        else if (verb == "dump")
            m_dump = m_fleet.store.objects;
        else if (verb == "restore")
            m_fleet.store.objects = m_dump;
        else
            return network(line);
        return {};
    }

private:
    static configuration_edit keyEdit(const std::string& name, bool isWithdrawn)
    {
        const std::string hash = config_fleet::hasher().hash("secret of " + name);
        return { "key", name,
            "{\"customer\": \"ronda\", \"hash\": \"" + hash + "\", \"withdrawn\": " + (isWithdrawn ? "true" : "false")
                + "}" };
    }

    outcome put(const std::string& kind, const std::string& name)
    {
        if (kind == "key")
            return publish({ { "customer", "ronda", "{}" }, keyEdit(name, false) });
        if (kind == "customer")
            return publish({ { "customer", name, "{}" } });
        return fail(kind, "must be key or customer");
    }

    outcome publish(const std::vector<configuration_edit>& edits)
    {
        const auto before = m_publisher.read();
        const auto done = m_publisher.publishEdits(edits, std::nullopt, m_fleet.highest());
        if (!done)
            return fail("", describe(done.error().cause) + describe(done.error().problems));
        const auto after = m_publisher.read();
        if (before && after) {
            for (const auto& withdrawal : withdrawalsBetween(before->objects, after->objects, *done))
                m_fleet.flood(withdrawal, "i1");
        }
        return {};
    }

    outcome race(const std::string& first, const std::string& second)
    {
        config_publisher one(m_fleet.store, first);
        config_publisher two(m_fleet.store, second);
        const auto base = m_publisher.read()->head.number;
        tl::expected<revision, publish_failure> secondDone = base;
        m_fleet.store.beforeWrite = [&](const std::string&) {
            secondDone = two.publishEdits({ { "customer", second, "{}" } }, base);
        };
        const auto firstDone = one.publishEdits({ { "customer", first, "{}" } }, base);
        m_isRaceWonByOne = secondDone.has_value() && !firstDone && firstDone.error().cause.peer == second;
        return {};
    }

    outcome platform(const words& line)
    {
        if (line.size() == 4 && line[1] == "loses")
            loseNextCommitAnswer();
        else if (line.size() == 2)
            m_fleet.store.isDown = line[1] == "down";
        else
            return fail(line.back(), "must be: platform down, up or loses commit answer");
        return {};
    }

    void loseNextCommitAnswer()
    {
        m_fleet.store.beforeWrite = [this](const std::string& kind) {
            if (kind == configHeadKind)
                m_fleet.store.lostAnswers = 1;
            else
                loseNextCommitAnswer();
        };
    }

    outcome network(const words& line)
    {
        const std::string& verb = line[0];
        if (verb == "heal") {
            m_fleet.heal();
            return {};
        }
        if (verb == "cut" && line.size() == 4) {
            line[3] == "platform" ? m_fleet.partitionFromPlatform(line[1]) : m_fleet.partitionFromPeers(line[1]);
            return {};
        }
        const std::map<std::string, std::function<void(const std::string&)>> acts {
            { "sleep", [this](const auto& name) { m_fleet.sleep(name); } },
            { "wake", [this](const auto& name) { m_fleet.wake(name); } },
            { "restart", [this](const auto& name) { m_fleet.restart(name); } },
            { "remember", [this](const auto& name) { m_fleet.remember(name); } },
            { "rollback", [this](const auto& name) { m_fleet.rollBack(name); } },
        };
        const auto act = acts.find(verb);
        if (act == acts.end())
            return fail(verb, "is not a command");
        if (line.size() != 2 || !m_fleet.isKnown(line[1]))
            return fail(line.back(), "is not an instance");
        act->second(line[1]);
        return {};
    }

    words instancesOf(const std::string& word) const { return word == "all" ? m_fleet.names() : words { word }; }

    outcome expect(const words& line)
    {
        if (line.size() == 3 && line[1] == "never")
            return m_fleet.wentBack().empty() ? outcome {} : fail(m_fleet.wentBack(), "went back to a lower revision");
        if (line.size() == 5 && line[1] == "race")
            return m_isRaceWonByOne ? outcome {} : fail("race", "was not won by one, named to the other");
        if (line.size() == 6 && line[1] == "key")
            return expectKey(line[2], line[3] == "accepted", line[5]);
        if (line.size() == 6 && line[1] == "at" && m_fleet.platformCalls > std::stoull(line[3]))
            return fail(line[3], "calls were exceeded: " + std::to_string(m_fleet.platformCalls));
        if (line.size() >= 3 && line[1] != "at")
            return expectInstances(line);
        return {};
    }

    outcome expectInstances(const words& line)
    {
        for (const auto& name : instancesOf(line[1])) {
            if (!m_fleet.isKnown(name))
                return fail(name, "is not an instance");
            const auto& replica = m_fleet.replica(name);
            const bool isHeld = (line[2] == "revision" && replica.position().number == std::stoull(line.at(3)))
                || (line[2] == "ready" && replica.isReady()) || (line[2] == "reports" && m_fleet.faultsAt(name) > 0);
            if (!isHeld)
                return fail(line[2], name + " has revision " + std::to_string(replica.position().number));
        }
        return {};
    }

    outcome expectKey(const std::string& key, bool isAccepted, const std::string& where)
    {
        for (const auto& name : instancesOf(where)) {
            if (m_fleet.isKeyAccepted(name, "secret of " + key) != isAccepted)
                return fail(key, std::string(isAccepted ? "refused" : "accepted") + " at " + name);
        }
        return {};
    }

    config_fleet m_fleet;
    config_publisher m_publisher;
    fake_object_store::object_map m_dump;
    bool m_isRaceWonByOne = false;
};

std::unique_ptr<scenario_world> make(std::uint64_t seed) { return std::make_unique<config_world>(seed); }

const world_registration configWorld("config", make);
const world_registration keysWorld("keys", make);

} // namespace

} // namespace flamingoroute::testing
