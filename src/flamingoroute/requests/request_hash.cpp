#include "flamingoroute/requests/request_hash.hpp"

#include <Poco/SHA2Engine.h>

namespace flamingoroute {

std::string hashOf(std::initializer_list<std::string_view> parts)
{
    Poco::SHA2Engine engine;
    for (const auto& part : parts) {
        engine.update(std::to_string(part.size()) + ":");
        engine.update(part.data(), part.size());
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace flamingoroute
