#ifndef FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_INSTANCE_LIST_HPP
#define FLAMINGOROUTE_STAND_INS_PLATFORM_STAND_IN_INSTANCE_LIST_HPP

#include "flamingoroute/settings/json_reader.hpp"
#include "flamingoroute/store/platform_instance.hpp"

#include <vector>

namespace flamingoroute::stand_in {

/// Reads "instances": [{"instance": NAME, "leaving": false}, ...].
inline std::vector<platform_instance> readInstances(json_reader& reader)
{
    std::vector<platform_instance> result;
    reader.optionalObjects("instances", [&result](json_reader& item) {
        platform_instance line;
        line.instance = instance_id(item.requiredString("instance"));
        line.isLeaving = item.optionalBool("leaving", false);
        result.push_back(line);
    });
    return result;
}

} // namespace flamingoroute::stand_in

#endif
