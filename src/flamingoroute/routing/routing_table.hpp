#ifndef FLAMINGOROUTE_ROUTING_ROUTING_TABLE_HPP
#define FLAMINGOROUTE_ROUTING_ROUTING_TABLE_HPP

#include "flamingoroute/model/fleet_configuration.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingoroute {

/// A configuration with indexes for lookups. Immutable.
class routing_table {
public:
    explicit routing_table(fleet_configuration configuration);

    const fleet_configuration& configuration() const { return m_configuration; }
    std::uint64_t version() const { return m_configuration.version; }

    /// @param host value of the Host header; a port and letter case are ignored
    /// @param target path, optionally with a query
    /// @return the rule with the longest matching prefix, or null
    const routing_rule* findRule(std::string_view host, std::string_view target) const;

    /// @return the customer that holds @p key, or null
    const customer_policy* findCustomer(const std::string& key) const;

    /// @return the service, or null
    const service_policy* findService(const service_id& name) const;

private:
    fleet_configuration m_configuration;
    std::unordered_map<std::string, std::vector<const routing_rule*>> m_rulesByHost; ///< longest prefix first
    std::unordered_map<std::string, const customer_policy*> m_customersByKey;
    std::unordered_map<service_id, const service_policy*> m_services;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

} // namespace flamingoroute

#endif
