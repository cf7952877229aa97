#include "flamingoroute/requests/route_match.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

bool takesMethod(const route& way, const std::string& method)
{
    return way.methods.empty() || std::find(way.methods.begin(), way.methods.end(), method) != way.methods.end();
}

bool takesPath(const route& way, const std::string& path)
{
    const auto& prefix = way.pathPrefix;
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

std::optional<route_match> matchRoute(
    const configuration& current, const std::string& method, const std::string& target)
{
    const std::string path = target.substr(0, target.find('?'));
    std::optional<route_match> best;
    for (const auto& candidate : current.services) {
        for (const auto& way : candidate.routes) {
            if (!takesPath(way, path) || !takesMethod(way, method))
                continue;
            if (!best || way.pathPrefix.size() > best->way->pathPrefix.size())
                best = route_match { &candidate, &way };
        }
    }
    return best;
}

} // namespace flamingoroute
