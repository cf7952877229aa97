#include "flamingoroute/config/content_hash.hpp"

#include <Poco/SHA2Engine.h>

namespace flamingoroute {

namespace {

constexpr std::size_t hashHexDigits = 32;

} // namespace

std::string contentHash(const std::string& content)
{
    Poco::SHA2Engine engine;
    engine.update(content);
    return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, hashHexDigits);
}

} // namespace flamingoroute
