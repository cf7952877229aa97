#ifndef FLAMINGOROUTE_RUNTIME_KEY_TABLE_HPP
#define FLAMINGOROUTE_RUNTIME_KEY_TABLE_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/refusal.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace flamingoroute {

/// The keys in force, by their hash.
class key_table {
public:
    static tl::expected<std::string, error> readPepper(const std::string& path);
    static std::string hash(const std::string& pepper, const std::string& key);

    void setPepper(std::string pepper) { m_pepper = std::move(pepper); }
    void adopt(const configuration& current);
    tl::expected<customer_id, refusal> authenticate(const std::string& key) const;

private:
    using table = std::map<std::string, customer_id>;

    std::string m_pepper;
    std::atomic<std::shared_ptr<const table>> m_table;
};

} // namespace flamingoroute

#endif
