#include "flamingoroute/requests/request_hash.hpp"

#include <Poco/SHA2Engine.h>

namespace flamingoroute {

std::string hashOf(const std::vector<std::string>& parts)
{
    Poco::SHA2Engine engine;
    for (const auto& part : parts) {
        engine.update(std::to_string(part.size()) + ":");
        engine.update(part);
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace flamingoroute
