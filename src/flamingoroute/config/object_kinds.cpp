#include "flamingoroute/config/object_kinds.hpp"

namespace flamingoroute {

const std::vector<std::string>& objectKinds()
{
    static const std::vector<std::string> kinds = [] {
        std::vector<std::string> names;
        const configuration none;
        visitKinds(none, [&names](const char* kind, const auto&) { names.emplace_back(kind); });
        return names;
    }();
    return kinds;
}

} // namespace flamingoroute
