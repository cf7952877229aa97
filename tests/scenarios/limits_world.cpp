#include "support/limits/limits_fleet.hpp"
#include "support/scenario/scenario.hpp"
#include "support/scenario/scenario_world.hpp"
#include "support/scenario/world_registry.hpp"

#include <cstdio>
#include <functional>
#include <map>

namespace flamingoroute::testing {

namespace {

/// The world `limits`: nine instances (a1-1 a1-2 a2-1, b..., c...) in six failure domains (a1 to c2).
/// Commands:
///
///     set loss|doubled|lost-answers PART        set jitter|region-delay|late-writes TIME
///     floors PART                               fraction of limits used as floors; must be the first command
///     customer NAME rate NUMBER burst NUMBER    also changes an existing limit
///     demand NAME at INSTANCE|all NUMBER        requests per second, Poisson arrivals
///     cut domain NAME from platform|peers|DOMAIN     join domain NAME
///     kill|start|pause|resume|restart INSTANCE  or `holder NAME` in place of the instance
///     platform down|up
///     measure NAME                              resets the counts
///     print NAME                                prints the counts and those of static equal splits
///     expect customer NAME admitted within rate and burst
///     expect customer NAME missing < PART       compared to a single bucket without delays
///     expect customer NAME reserved within rate and burst
class limits_world : public scenario_world {
public:
    explicit limits_world(std::uint64_t seed)
        : m_seed(seed)
    {
        rebuild();
    }

    void advanceTo(microseconds now) override { m_fleet->advanceTo(m_start + now); }

    tl::expected<void, scenario_error> run(const scenario_command& command) override
    {
        const auto& words = command.words;
        const auto handler = handlers().find(words[0]);
        if (handler == handlers().end())
            return fail(command, words[0], "is not a command");
        std::string wrong;
        const auto problem = (this->*handler->second)(words, wrong);
        if (!problem.empty())
            return fail(command, wrong, problem);
        return {};
    }

private:
    using words_type = std::vector<std::string>;
    using handler_type = std::string (limits_world::*)(const words_type&, std::string&);

    static const std::map<std::string, handler_type>& handlers()
    {
        static const std::map<std::string, handler_type> all {
            { "set", &limits_world::set },
            { "floors", &limits_world::floors },
            { "customer", &limits_world::customer },
            { "demand", &limits_world::demand },
            { "cut", &limits_world::cutDomain },
            { "join", &limits_world::joinDomain },
            { "kill", &limits_world::change },
            { "start", &limits_world::change },
            { "restart", &limits_world::change },
            { "pause", &limits_world::change },
            { "resume", &limits_world::change },
            { "platform", &limits_world::platform },
            { "measure", &limits_world::measure },
            { "print", &limits_world::print },
            { "expect", &limits_world::expect },
        };
        return all;
    }

    static tl::expected<void, scenario_error> fail(
        const scenario_command& command, const std::string& word, const std::string& detail)
    {
        return tl::unexpected(scenario_error { command.line, word, detail });
    }

    void rebuild()
    {
        m_fleet = std::make_unique<limits_fleet>(m_seed, nineInstanceFleet(), m_settings);
        m_start = m_fleet->now();
    }

    bool number(const words_type& words, std::size_t at, double& result, std::string& wrong) const
    {
        wrong = at < words.size() ? words[at] : "";
        try {
            result = std::stod(wrong);
            return true;
        } catch (const std::exception&) {
            return false;
        }
    }

    std::string set(const words_type& words, std::string& wrong)
    {
        auto& faults = m_fleet->faults;
        const std::map<std::string, double*> parts { { "loss", &faults.loss }, { "doubled", &faults.duplicated },
            { "lost-answers", &faults.lostAnswers } };
        const std::map<std::string, microseconds*> times { { "jitter", &faults.jitter },
            { "region-delay", &faults.regionDelay }, { "late-writes", &faults.lateWrites } };
        wrong = words.size() == 3 ? words[1] : "set";
        if (words.size() == 3 && parts.contains(words[1]))
            return number(words, 2, *parts.at(words[1]), wrong) ? "" : "is not a number";
        if (words.size() == 3 && times.contains(words[1])) {
            wrong = words[2];
            return parseDuration(words[2], *times.at(words[1])) ? "" : "is not a time";
        }
        return "is not a fault";
    }

    std::string floors(const words_type& words, std::string& wrong)
    {
        if (!number(words, 1, m_settings.floorFraction, wrong))
            return "is not a number";
        rebuild();
        return "";
    }

    std::string customer(const words_type& words, std::string& wrong)
    {
        double perSecond = 0;
        double burst = 0;
        if (words.size() != 6 || !number(words, 3, perSecond, wrong) || !number(words, 5, burst, wrong))
            return "is not a number; must be: customer NAME rate NUMBER burst NUMBER";
        m_limits[words[1]] = { perSecond, static_cast<int>(burst) };
        m_fleet->setLimit(customer_id(words[1]), perSecond, static_cast<int>(burst));
        return "";
    }

    std::string demand(const words_type& words, std::string& wrong)
    {
        double perSecond = 0;
        if (words.size() != 5 || !number(words, 4, perSecond, wrong))
            return "is not a number; must be: demand NAME at INSTANCE NUMBER";
        wrong = words[1];
        if (!m_fleet->contains(customer_id(words[1])))
            return "is not a customer";
        wrong = words[3];
        if (words[3] != "all" && !m_fleet->contains(instance_id(words[3])))
            return "is not an instance";
        for (const auto& one : m_fleet->members()) {
            if (words[3] == "all" || words[3] == one.instance.value())
                m_fleet->setDemand(customer_id(words[1]), one.instance, perSecond);
        }
        return "";
    }

    std::string cutDomain(const words_type& words, std::string& wrong)
    {
        wrong = words.back();
        if (words.size() != 5 || words[1] != "domain" || words[3] != "from")
            return "must be: cut domain NAME from platform|peers|DOMAIN";
        m_fleet->partition(words[2], words[4]);
        return "";
    }

    std::string joinDomain(const words_type& words, std::string& wrong)
    {
        wrong = words.back();
        if (words.size() != 3 || words[1] != "domain")
            return "must be: join domain NAME";
        m_fleet->rejoin(words[2]);
        return "";
    }

    std::string change(const words_type& words, std::string& wrong)
    {
        wrong = words.back();
        const bool isHolder = words.size() == 3 && words[1] == "holder" && m_fleet->contains(customer_id(words[2]));
        const auto who = isHolder ? m_fleet->holderOf(customer_id(words[2])) : instance_id(words.back());
        if (!m_fleet->contains(who))
            return "is not an instance";
        if (words[0] == "pause")
            m_fleet->pause(who);
        if (words[0] == "resume")
            m_fleet->resume(who);
        if (words[0] == "kill" || words[0] == "restart") {
            m_fleet->killEntry(who);
            m_fleet->killControl(who);
        }
        if (words[0] == "start" || words[0] == "restart") {
            m_fleet->startEntry(who);
            m_fleet->startControl(who);
        }
        return "";
    }

    std::string platform(const words_type& words, std::string& wrong)
    {
        wrong = words.back();
        if (wrong != "down" && wrong != "up")
            return "must be down or up";
        m_fleet->faults.isStoreDown = wrong == "down";
        return "";
    }

    std::string measure(const words_type& words, std::string& wrong)
    {
        wrong = words.back();
        if (!m_fleet->contains(customer_id(wrong)))
            return "is not a customer";
        m_fleet->count(customer_id(wrong)) = {};
        m_measuredFrom = m_fleet->now();
        return "";
    }

    std::string print(const words_type& words, std::string& wrong)
    {
        wrong = words.back();
        if (!m_fleet->contains(customer_id(wrong)))
            return "is not a customer";
        const auto& count = m_fleet->count(customer_id(wrong));
        const auto part = [&count](std::uint64_t admitted) {
            return 1 - static_cast<double>(admitted) / static_cast<double>(count.ideal);
        };
        const std::chrono::duration<double> elapsed = m_fleet->now() - m_measuredFrom;
        std::printf("seed %lu %s: offered %lu admitted %lu missing %.4f static %.4f static+wait %.4f messages/s %.0f "
                    "bytes/s %.0f store calls %lu\n",
            m_seed, wrong.c_str(), count.offered, count.admitted, part(count.admitted), part(count.staticSplit),
            part(count.staticSplitWaiting), static_cast<double>(count.messages) / elapsed.count(),
            static_cast<double>(count.messageBytes) / elapsed.count(), count.storeCalls);
        return "";
    }

    std::string expect(const words_type& words, std::string& wrong)
    {
        wrong = words.size() > 2 ? words[2] : "expect";
        if (words.size() < 6 || words[1] != "customer" || !m_fleet->contains(customer_id(words[2])))
            return "must be: expect customer NAME ...";
        const customer_id name(words[2]);
        wrong = words[3];
        const auto& meter = m_fleet->meter(name);
        if (words[3] == "admitted")
            return meter.isWithinBound() ? "" : "admitted too many: " + std::to_string(meter.maxExcess());
        if (words[3] == "reserved") {
            const auto reserved = m_fleet->reserved(name);
            const auto& limit = m_limits.at(words[2]);
            const bool isWithin = reserved.perSecond <= limit.perSecond + 1e-6 && reserved.depth <= limit.depth;
            return isWithin ? "" : "reserves " + std::to_string(reserved.perSecond);
        }
        double maximum = 0;
        if (words[3] != "missing" || !number(words, 5, maximum, wrong))
            return "is not an expectation";
        const auto& count = m_fleet->count(name);
        const double missing = 1 - static_cast<double>(count.admitted) / static_cast<double>(count.ideal);
        return missing < maximum ? "" : "missing " + std::to_string(missing);
    }

    std::uint64_t m_seed;
    limit_settings m_settings;
    std::unique_ptr<limits_fleet> m_fleet;
    monotonic_time m_start;
    monotonic_time m_measuredFrom;
    std::map<std::string, share> m_limits;
};

const world_registration registration(
    "limits", [](std::uint64_t seed) { return std::make_unique<limits_world>(seed); });

} // namespace

} // namespace flamingoroute::testing
