#include "flamingoroute/routing/routing_table.hpp"

#include <Poco/String.h>

#include <algorithm>

namespace flamingoroute {

namespace {

std::string normalizedHost(std::string_view host) { return Poco::toLower(std::string(host.substr(0, host.find(':')))); }

} // namespace

routing_table::routing_table(fleet_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& rule : m_configuration.rules)
        m_rulesByHost[normalizedHost(rule.host)].push_back(&rule);
    for (auto& [host, rules] : m_rulesByHost) {
        std::stable_sort(rules.begin(), rules.end(), [](const routing_rule* left, const routing_rule* right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const auto& customer : m_configuration.customers) {
        for (const auto& key : customer.keys)
            m_customersByKey.emplace(key, &customer);
    }
    for (const auto& service : m_configuration.services)
        m_services.emplace(service.name, &service);
}

const routing_rule* routing_table::findRule(std::string_view host, std::string_view target) const
{
    const auto known = m_rulesByHost.find(normalizedHost(host));
    if (known == m_rulesByHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto* rule : known->second) {
        if (path.substr(0, rule->pathPrefix.size()) == rule->pathPrefix)
            return rule;
    }
    return nullptr;
}

const customer_policy* routing_table::findCustomer(const std::string& key) const
{
    const auto known = m_customersByKey.find(key);
    return known == m_customersByKey.end() ? nullptr : known->second;
}

const service_policy* routing_table::findService(const service_id& name) const
{
    const auto known = m_services.find(name);
    return known == m_services.end() ? nullptr : known->second;
}

} // namespace flamingoroute
