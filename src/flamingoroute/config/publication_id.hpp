#ifndef FLAMINGOROUTE_CONFIG_PUBLICATION_ID_HPP
#define FLAMINGOROUTE_CONFIG_PUBLICATION_ID_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Identifies the publication of a revision. Writer and sequence together are unique.
struct publication_id {
    revision number = 0;
    std::string writer; ///< for example "flamingoctl/4711-8a1f"
    std::uint64_t sequence = 0; ///< counts the writer's publications

    bool operator==(const publication_id&) const = default;
};

} // namespace flamingoroute

#endif
