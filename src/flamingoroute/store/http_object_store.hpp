#ifndef FLAMINGOROUTE_STORE_HTTP_OBJECT_STORE_HPP
#define FLAMINGOROUTE_STORE_HTTP_OBJECT_STORE_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/store/http_object_store_settings.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <memory>

namespace Poco::Net {
class HTTPClientSession;
}

namespace flamingoroute {

/// The platform's object API over HTTP. Thread-safe: concurrent calls use separate connections.
///
/// A write whose connection cannot be opened returns `unavailable`; one that fails later without a definite response
/// returns `outcome_unknown`.
class http_object_store : public object_store {
public:
    explicit http_object_store(http_object_store_settings settings);
    ~http_object_store() override;

    tl::expected<stored_object, error> get(const std::string& kind, const std::string& name) override;
    tl::expected<std::vector<stored_object>, error> list(const std::string& kind) override;
    tl::expected<object_version, error> create(
        const std::string& kind, const std::string& name, const std::string& value) override;
    tl::expected<object_version, error> update(
        const std::string& kind, const std::string& name, const std::string& value, object_version expected) override;
    tl::expected<void, error> remove(
        const std::string& kind, const std::string& name, object_version expected) override;
    tl::expected<std::vector<object_change>, error> watch(
        const std::string& kind, std::uint64_t after, milliseconds maxWait) override;
    tl::expected<std::vector<platform_instance>, error> instances() override;

private:
    struct call;
    struct answer;
    class connection_pool;

    tl::expected<answer, error> perform(const call& storeCall);
    tl::expected<answer, error> exchange(const call& storeCall);
    void send(const call& storeCall, Poco::Net::HTTPClientSession& session) const;
    tl::expected<answer, error> receive(const call& storeCall, std::unique_ptr<Poco::Net::HTTPClientSession> session);

    http_object_store_settings m_settings;
    std::unique_ptr<connection_pool> m_pool;
};

} // namespace flamingoroute

#endif
