#include "flamingoroute/requests/route_match.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

bool acceptsMethod(const route& candidateRoute, const std::string& method)
{
    return candidateRoute.methods.empty()
        || std::find(candidateRoute.methods.begin(), candidateRoute.methods.end(), method)
        != candidateRoute.methods.end();
}

bool acceptsPath(const route& candidateRoute, const std::string& path)
{
    const auto& prefix = candidateRoute.pathPrefix;
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
        for (const auto& candidateRoute : candidate.routes) {
            if (!acceptsPath(candidateRoute, path) || !acceptsMethod(candidateRoute, method))
                continue;
            if (!best || candidateRoute.pathPrefix.size() > best->matchedRoute->pathPrefix.size())
                best = route_match { &candidate, &candidateRoute };
        }
    }
    return best;
}

} // namespace flamingoroute
