#include "flamingoroute/keys/key_hasher.hpp"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <utility>

namespace flamingoroute {

namespace {

/// HMACEngine needs compile-time sizes; SHA2Engine has them only at run time.
class sha256_engine : public Poco::SHA2Engine {
public:
    enum {
        BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming)
        DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming)
    };

    sha256_engine()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

} // namespace

key_hasher::key_hasher(std::string pepper)
    : m_pepper(std::move(pepper))
{
}

std::string key_hasher::hash(const std::string& key) const
{
    Poco::HMACEngine<sha256_engine> engine(m_pepper);
    engine.update(key);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool isEqualInConstantTime(const std::string& left, const std::string& right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

} // namespace flamingoroute
