#include "flamingoroute/runtime/key_table.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/String.h>

namespace flamingoroute {

namespace {

class sha256_engine : public Poco::SHA2Engine {
public:
    enum sizes {
        BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming)
        DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming)
    };

    sha256_engine()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

} // namespace

tl::expected<std::string, error> key_table::readPepper(const std::string& path)
{
    auto text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    return Poco::trim(*text);
}

std::string key_table::hash(const std::string& pepper, const std::string& key)
{
    Poco::HMACEngine<sha256_engine> engine(pepper);
    engine.update(key);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

void key_table::adopt(const configuration& current)
{
    auto next = std::make_shared<table>();
    for (const auto& key : current.keys) {
        if (!key.isWithdrawn)
            next->emplace(key.hash, key.customer);
    }
    m_table.store(std::move(next));
}

tl::expected<customer_id, refusal> key_table::authenticate(const std::string& key) const
{
    refusal why;
    why.step = "authenticate";
    why.reason = key.empty() ? refusal_reason::missing_key : refusal_reason::wrong_key;
    why.detail = key.empty() ? "the request has no key" : "the key is not known or was withdrawn";
    const auto known = m_table.load();
    if (key.empty() || !known)
        return tl::unexpected(why);
    const auto found = known->find(hash(m_pepper, key));
    if (found == known->end())
        return tl::unexpected(why);
    return found->second;
}

} // namespace flamingoroute
