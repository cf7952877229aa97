#ifndef FLAMINGOROUTE_CONFIG_OBJECT_KINDS_HPP
#define FLAMINGOROUTE_CONFIG_OBJECT_KINDS_HPP

#include "flamingoroute/model/configuration.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// Calls a visitor with each kind's name and its vector of objects.
/// @param objects a configuration, const or not
/// @param visit called as visit(const char* kind, vector)
template <typename Configuration, typename Visitor> void visitKinds(Configuration& objects, Visitor&& visit)
{
    visit("region", objects.regions);
    visit("failure_domain", objects.failureDomains);
    visit("service", objects.services);
    visit("version", objects.versions);
    visit("upstream", objects.upstreams);
    visit("customer", objects.customers);
    visit("key", objects.keys);
    visit("rate", objects.rates);
    visit("move", objects.moves);
    visit("client_block", objects.clientBlocks);
    visit("objective", objects.objectives);
}

inline const std::string& nameText(const std::string& name) { return name; }

template <typename Tag> const std::string& nameText(const strong_id<Tag>& name) { return name.value(); }

/// @return the name of an object of any kind
template <typename Object> const std::string& nameOf(const Object& object) { return nameText(object.name); }

/// @return the names of all kinds, in the order of visitKinds
const std::vector<std::string>& objectKinds();

} // namespace flamingoroute

#endif
