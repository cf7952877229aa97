#include "steering_fleet.hpp"
#include "support/scenario/scenario.hpp"
#include "support/scenario/world_registry.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

using outcome = tl::expected<void, scenario_error>;

outcome fail(const std::string& word, const std::string& detail)
{
    return tl::unexpected(scenario_error { 0, word, detail });
}

/// The world `steering`. Names: region r1, failure domain r1d1, instance r1d1i1, upstream r1d1u1; a place is a
/// name prefix. Commands:
///
///     fleet KEY VALUE...                  regions, domains, instances, upstreams, slots, service, distance, link,
///                                         answer, deadline; starts the fleet
///     load CUSTOMER interactive|bulk at PLACE RATE        requests per second
///     stop load CUSTOMER
///     weight CUSTOMER NUMBER
///     messages lost|doubled SHARE         from 0 to 1
///     messages late TIME                  each delayed by up to TIME more
///     cut PLACE from PLACE                `platform` is also a place
///     heal
///     platform down|up
///     kill|restart|pause|resume INSTANCE
///     upstreams at PLACE broken|mended|lying|slow FACTOR|frozen LOAD|withdrawn
///     upstreams at PLACE leaving|leaving-quietly|leaving-once   refuses all, no or one request as leaving
///     forget                              resets the counts of answers
///     expect no overload at PLACE
///     expect customer NAME answered >= SHARE | refused <= SHARE | p99 <= TIME
///     expect no work at PLACE after TIME  after the upstream started to leave
///     expect control <= BYTES             average per second and instance, sent and received
///     expect link REGION to REGION <= MEGABITS
class steering_world : public scenario_world {
public:
    explicit steering_world(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    void advanceTo(microseconds now) override
    {
        if (m_fleet)
            m_fleet->advanceTo(now);
    }

    outcome run(const scenario_command& command) override
    {
        m_words = command.words;
        m_words.resize(std::max<std::size_t>(m_words.size(), 8));
        try {
            if (m_words[0] == "fleet")
                return startFleet(command.words);
            if (!m_fleet)
                return fail(m_words[0], "must come after the fleet command");
            if (m_words[0] == "expect")
                return expect();
            if (m_words[0] == "upstreams")
                return changeUpstreams();
            return change();
        } catch (const std::exception&) {
            return fail(m_words[0], "has an invalid argument");
        }
    }

private:
    static microseconds timeOf(const std::string& word)
    {
        microseconds result { 0 };
        if (!parseDuration(word, result))
            throw std::invalid_argument(word);
        return result;
    }

    static milliseconds millisecondsOf(const std::string& word)
    {
        return std::chrono::duration_cast<milliseconds>(timeOf(word));
    }

    outcome startFleet(const std::vector<std::string>& words)
    {
        fleet_layout layout;
        const std::map<std::string, std::function<void(const std::string&)>> setters {
            { "regions", [&](const auto& word) { layout.regions = std::stoi(word); } },
            { "domains", [&](const auto& word) { layout.domains = std::stoi(word); } },
            { "instances", [&](const auto& word) { layout.instances = std::stoi(word); } },
            { "upstreams", [&](const auto& word) { layout.upstreams = std::stoi(word); } },
            { "slots", [&](const auto& word) { layout.slots = std::stoi(word); } },
            { "service", [&](const auto& word) { layout.serviceTime = millisecondsOf(word); } },
            { "distance", [&](const auto& word) { layout.regionDistance = millisecondsOf(word); } },
            { "deadline", [&](const auto& word) { layout.deadline = millisecondsOf(word); } },
            { "link", [&](const auto& word) { layout.linkMegabits = std::stoi(word); } },
            { "answer", [&](const auto& word) { layout.answerBytes = std::stoi(word); } },
        };
        for (std::size_t i = 1; i + 1 < words.size(); i += 2) {
            const auto setter = setters.find(words[i]);
            if (setter == setters.end())
                return fail(words[i], "is not a fleet option");
            setter->second(words[i + 1]);
        }
        m_fleet = std::make_unique<steering_fleet>(layout, m_seed);
        return {};
    }

    outcome change()
    {
        const auto& w = m_words;
        if (w[0] == "load" && w[3] == "at")
            m_fleet->startLoad(
                w[1], w[2] == "bulk" ? request_class::bulk : request_class::interactive, w[4], std::stod(w[5]));
        else if (w[0] == "stop" && w[1] == "load")
            m_fleet->stopLoad(w[2]);
        else if (w[0] == "weight")
            m_fleet->setWeight(w[1], std::stoi(w[2]));
        else if (w[0] == "messages" && w[1] == "lost")
            m_fleet->loseMessages(std::stod(w[2]));
        else if (w[0] == "messages" && w[1] == "doubled")
            m_fleet->doubleMessages(std::stod(w[2]));
        else if (w[0] == "messages" && w[1] == "late")
            m_fleet->delayMessages(timeOf(w[2]));
        else if (w[0] == "cut" && w[2] == "from")
            m_fleet->cut(w[1], w[3]);
        else if (w[0] == "heal")
            m_fleet->heal();
        else if (w[0] == "platform")
            m_fleet->setPlatform(w[1] == "up");
        else if (w[0] == "kill")
            m_fleet->kill(w[1]);
        else if (w[0] == "restart")
            m_fleet->restart(w[1]);
        else if (w[0] == "pause" || w[0] == "resume")
            m_fleet->pause(w[1], w[0] == "pause");
        else if (w[0] == "forget")
            m_fleet->clearTallies();
        else
            return fail(w[0], "is not a command of this world");
        return {};
    }

    outcome changeUpstreams()
    {
        const auto& w = m_words;
        for (auto* target : m_fleet->upstreamsAt(w[2])) {
            if (w[3] == "broken" || w[3] == "mended")
                target->isBroken = w[3] == "broken";
            else if (w[3] == "lying")
                target->isHealthAlwaysOk = true;
            else if (w[3] == "slow")
                target->slowness = std::stod(w[4]);
            else if (w[3] == "frozen")
                target->frozenLoad = std::stod(w[4]);
            else if (w[3].starts_with("leaving") || w[3] == "withdrawn")
                target->leavingSince = m_fleet->now();
            else
                return fail(w[3], "is not an upstream state");
            target->isLeaving = target->isLeaving || w[3] == "leaving";
            target->isLeavingByHealthOnly = target->isLeavingByHealthOnly || w[3] == "leaving-quietly";
            target->isLeavingOnce = target->isLeavingOnce || w[3] == "leaving-once";
        }
        if (w[3] == "withdrawn") {
            m_fleet->changeConfiguration([&](configuration& next) {
                for (auto& target : next.upstreams)
                    target.isLeaving = target.isLeaving || target.name.value().starts_with(w[2]);
            });
        }
        return {};
    }

    outcome expect()
    {
        const auto& w = m_words;
        if (w[1] == "no" && w[2] == "overload")
            return expectNoOverload(w[4]);
        if (w[1] == "no" && w[2] == "work")
            return expectNoWork(w[4], timeOf(w[6]));
        if (w[1] == "customer")
            return expectCustomer();
        if (w[1] == "control") {
            const double elapsed = static_cast<double>(m_fleet->now().count()) / 1e6;
            const double perNode = static_cast<double>(m_fleet->messageBytes()) * 2 / elapsed
                / static_cast<double>(m_fleet->instanceCount()); // sent and received
            if (perNode > std::stod(w[3]))
                return fail(w[1], "took " + std::to_string(perNode) + " bytes per second and instance");
            return {};
        }
        if (w[1] == "link") {
            const double megabits = m_fleet->maxLinkBytes(w[2], w[4]) * 8 / 1e6;
            if (megabits > std::stod(w[6]))
                return fail(w[2], "carried " + std::to_string(megabits) + " Mbit in a second");
            return {};
        }
        return fail(w[1], "is not an expectation");
    }

    outcome expectNoOverload(const std::string& place)
    {
        for (const auto* target : m_fleet->upstreamsAt(place)) {
            if (target->maxOverload > 0)
                return fail(target->object.name.value(),
                    "ran " + std::to_string(target->maxOverload) + " requests above its slots");
        }
        return {};
    }

    outcome expectNoWork(const std::string& place, microseconds after)
    {
        for (const auto* target : m_fleet->upstreamsAt(place)) {
            if (target->leavingSince && target->lastStart && *target->lastStart > *target->leavingSince + after)
                return fail(target->object.name.value(), "started a request after that time");
        }
        return {};
    }

    outcome expectCustomer()
    {
        const auto& w = m_words;
        const auto& tally = m_fleet->tallyOf(w[2]);
        const double sent = std::max(1, tally.sent);
        if (w[3] == "answered" && tally.answered / sent < std::stod(w[5])) {
            std::string detail = "was answered " + std::to_string(tally.answered) + " of " + std::to_string(tally.sent)
                + ", failed " + std::to_string(tally.failed);
            for (const auto& [reason, count] : tally.reasons)
                detail += ", refused " + std::to_string(count) + " (" + reason + ")";
            return fail(w[2], detail);
        }
        if (w[3] == "refused" && tally.refused / sent > std::stod(w[5]))
            return fail(w[2], "was refused " + std::to_string(tally.refused) + " of " + std::to_string(tally.sent));
        if (w[3] == "p99") {
            auto sorted = tally.latenciesMs;
            std::sort(sorted.begin(), sorted.end());
            const double worst = sorted.empty() ? 0 : sorted[sorted.size() * 99 / 100];
            if (worst > static_cast<double>(timeOf(w[5]).count()) / 1000)
                return fail(w[2], "has a 99th percentile of " + std::to_string(worst) + " ms");
        }
        return {};
    }

    std::uint64_t m_seed;
    std::vector<std::string> m_words;
    std::unique_ptr<steering_fleet> m_fleet;
};

const world_registration registration(
    "steering", [](std::uint64_t seed) { return std::make_unique<steering_world>(seed); });

} // namespace

} // namespace flamingoroute::testing
