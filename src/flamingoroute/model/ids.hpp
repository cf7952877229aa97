#ifndef FLAMINGOROUTE_MODEL_IDS_HPP
#define FLAMINGOROUTE_MODEL_IDS_HPP

#include "flamingoroute/model/strong_id.hpp"

#include <cstdint>

namespace flamingoroute {

using instance_id = strong_id<struct instance_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using region_id = strong_id<struct region_tag>;
using customer_id = strong_id<struct customer_tag>;
using service_id = strong_id<struct service_tag>;
using upstream_id = strong_id<struct upstream_tag>;
using version_id = strong_id<struct version_tag>;
using key_id = strong_id<struct key_tag>;
using move_id = strong_id<struct move_tag>;

/// A number that increases with each start of a process at the same address.
using incarnation = std::uint64_t;

/// The number of a published configuration; it never decreases.
using revision = std::uint64_t;

} // namespace flamingoroute

#endif
