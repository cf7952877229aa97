#include "flamingoroute/config/configuration_checker.hpp"

#include "flamingoroute/config/object_kinds.hpp"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace flamingoroute {

namespace {

constexpr std::size_t maxObjectsOfAKind = 200'000;
constexpr std::size_t keyHashHexDigits = 64;

template <typename List, typename Name> auto findByName(const List& list, const Name& name)
{
    const auto found = std::lower_bound(list.begin(), list.end(), nameText(name),
        [](const auto& object, const std::string& target) { return nameOf(object) < target; });
    return found != list.end() && nameOf(*found) == nameText(name) ? &*found : nullptr;
}

class object_set_checker {
public:
    explicit object_set_checker(const configuration& objects)
        : m_objects(objects)
    {
    }

    problem_list run()
    {
        visitKinds(m_objects, [this](const char* kind, const auto& list) { checkNames(kind, list); });
        visitKinds(m_objects, [this](const char* kind, const auto& list) {
            for (const auto& object : list) {
                m_path = std::string(kind) + "/" + nameOf(object);
                checkObject(object);
            }
        });
        checkRunningMoves();
        checkRatesPerCustomer();
        return std::move(m_problems);
    }

private:
    void report(const std::string& field, const std::string& rule)
    {
        m_problems.push_back(problem { m_path + "." + field, rule });
    }

    template <typename List, typename Name> auto require(const std::string& field, const List& list, const Name& name)
    {
        const auto* found = findByName(list, name);
        if (!found)
            report(field, "refers to '" + nameText(name) + "', which does not exist");
        return found;
    }

    template <typename List> void checkNames(const char* kind, const List& list)
    {
        if (list.size() > maxObjectsOfAKind)
            m_problems.push_back(problem { kind, "has more than 200000 objects" });
        for (std::size_t i = 0; i < list.size(); ++i) {
            m_path = std::string(kind) + "/" + nameOf(list[i]);
            if (nameOf(list[i]).empty())
                report("name", "must not be empty");
            if (i > 0 && nameOf(list[i]) == nameOf(list[i - 1]))
                report("name", "is used by another object of this kind");
        }
    }

    void checkVersion(const std::string& field, const version_id& name, const service_id& owner)
    {
        const auto* found = require(field, m_objects.versions, name);
        if (found && found->service != owner)
            report(
                field, "refers to '" + name.value() + "', which belongs to service '" + found->service.value() + "'");
    }

    void checkObject(const region& object)
    {
        std::set<region_id> seen;
        for (const auto& link : object.links) {
            require("links", m_objects.regions, link.to);
            if (link.to == object.name)
                report("links", "must not refer to the region itself");
            if (!seen.insert(link.to).second)
                report("links", "lists '" + link.to.value() + "' twice");
        }
    }

    void checkObject(const failure_domain& object) { require("region", m_objects.regions, object.region); }

    void checkObject(const service& object)
    {
        checkVersion("current_version", object.currentVersion, object.name);
        if (object.routes.empty())
            report("routes", "must not be empty");
        std::set<std::string> names;
        for (const auto& entry : object.routes) {
            if (!names.insert(entry.name).second)
                report("routes", "lists route '" + entry.name + "' twice");
            if (entry.pathPrefix.empty() || entry.pathPrefix.front() != '/')
                report("routes", "route '" + entry.name + "': path_prefix must begin with /");
            if (entry.isOpen && entry.requiresIdempotencyKey)
                report("routes", "route '" + entry.name + "': an open route cannot require an idempotency key");
        }
    }

    void checkObject(const version& object) { require("service", m_objects.services, object.service); }

    void checkObject(const upstream& object)
    {
        require("service", m_objects.services, object.service);
        checkVersion("version", object.version, object.service);
        require("failure_domain", m_objects.failureDomains, object.failureDomain);
        if (!m_addresses.insert(object.address).second)
            report("address", "is used by another upstream");
    }

    void checkObject(const customer&) { }

    void checkObject(const access_key& object)
    {
        require("customer", m_objects.customers, object.customer);
        const bool isHex = object.hash.size() == keyHashHexDigits
            && object.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!isHex)
            report("hash", "must be 64 lower-case hexadecimal digits");
        else if (!m_keyHashes.insert(object.hash).second)
            report("hash", "is used by another key");
    }

    void checkObject(const rate_limit& object)
    {
        require("customer", m_objects.customers, object.customer);
        if (!(object.perSecond > 0))
            report("per_second", "must be above 0");
        if (object.burst < 1)
            report("burst", "must be at least 1");
    }

    void checkObject(const version_move& object)
    {
        require("service", m_objects.services, object.service);
        checkVersion("from", object.from, object.service);
        checkVersion("to", object.to, object.service);
        if (object.from == object.to)
            report("to", "must differ from 'from'");
        if (object.capPercent < 1 || object.capPercent > 100)
            report("cap_percent", "must be between 1 and 100");
        if (object.sharePercent > object.capPercent)
            report("share_percent", "must not exceed cap_percent");
        if (object.startAtUnixMs != 0 && object.finishByUnixMs <= object.startAtUnixMs)
            report("finish_by", "must be after start_at");
    }

    void checkObject(const client_block& object)
    {
        require("region", m_objects.regions, object.region);
        if (!isCidr(object.range))
            report("range", "must be an address range such as 10.1.0.0/16");
        else if (!m_ranges.insert(object.range).second)
            report("range", "is used by another client_block");
    }

    void checkObject(const service_objective& object)
    {
        require("service", m_objects.services, object.service);
        if (!object.customer.empty())
            require("customer", m_objects.customers, object.customer);
        if (!(object.goodShare > 0 && object.goodShare < 1))
            report("good_share", "must be above 0 and below 1");
    }

    static bool isCidr(const std::string& range)
    {
        const auto slash = range.find('/');
        Poco::Net::IPAddress address;
        if (slash == std::string::npos || !Poco::Net::IPAddress::tryParse(range.substr(0, slash), address))
            return false;
        unsigned prefixBits = 0;
        const char* end = range.data() + range.size();
        const auto [stop, problem] = std::from_chars(range.data() + slash + 1, end, prefixBits);
        if (problem != std::errc {} || stop != end || prefixBits > address.length() * 8)
            return false;
        const Poco::Net::IPAddress mask(prefixBits, address.family());
        return (address & mask) == address;
    }

    void checkRunningMoves()
    {
        std::set<service_id> running;
        for (const auto& object : m_objects.moves) {
            if (object.phase == move_phase::done || object.phase == move_phase::undone)
                continue;
            m_path = "move/" + object.name.value();
            if (!running.insert(object.service).second)
                report("service", "has another running move");
        }
    }

    void checkRatesPerCustomer()
    {
        std::set<customer_id> limited;
        for (const auto& object : m_objects.rates) {
            m_path = "rate/" + object.name;
            if (!limited.insert(object.customer).second)
                report("customer", "has another rate");
        }
    }

    const configuration& m_objects;
    problem_list m_problems;
    std::string m_path;
    std::set<endpoint> m_addresses;
    std::set<std::string> m_keyHashes;
    std::set<std::string> m_ranges;
};

} // namespace

problem_list check(const configuration& objects) { return object_set_checker(objects).run(); }

} // namespace flamingoroute
