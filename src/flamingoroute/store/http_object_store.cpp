#include "flamingoroute/store/http_object_store.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <mutex>

namespace flamingoroute {

namespace {

using session_ptr = std::unique_ptr<Poco::Net::HTTPClientSession>;

constexpr std::size_t maxIdleConnections = 4;
constexpr seconds maxIdleTime { 5 };
constexpr int sessionKeepAliveSeconds = 3600;

Poco::Timespan timespanOf(milliseconds time) { return { time.count() * 1000 }; }

std::string encoded(const std::string& segment)
{
    std::string result;
    Poco::URI::encode(segment, "/?#%&+ ", result);
    return result;
}

stored_object objectOf(const Poco::JSON::Object::Ptr& json)
{
    return stored_object { json->getValue<std::string>("kind"), json->getValue<std::string>("name"),
        json->getValue<std::uint64_t>("version"), json->getValue<std::string>("value") };
}

template <typename Item, typename Reader>
tl::expected<std::vector<Item>, error> readItems(const std::string& body, const std::string& field, Reader read)
{
    const std::string step = "store.read";
    const auto json = parseJsonObject(body, field);
    if (!json)
        return tl::unexpected(error { error_code::unavailable, step, "", json.error().detail });
    try {
        std::vector<Item> result;
        const auto array = (*json)->getArray(field);
        for (std::size_t i = 0; !array.isNull() && i < array->size(); ++i)
            result.push_back(read(array->getObject(static_cast<unsigned>(i))));
        return result;
    } catch (const Poco::Exception& problem) {
        return tl::unexpected(error { error_code::unavailable, step, "", problem.displayText() });
    }
}

error_code codeOf(int status)
{
    switch (status) {
    case Poco::Net::HTTPResponse::HTTP_NOT_FOUND:
        return error_code::not_found;
    case Poco::Net::HTTPResponse::HTTP_PRECONDITION_FAILED:
        return error_code::conflict;
    case Poco::Net::HTTPResponse::HTTP_BAD_REQUEST:
    case Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE:
        return error_code::invalid_input;
    default:
        return error_code::outcome_unknown;
    }
}

} // namespace

struct http_object_store::call {
    std::string step;
    std::string method;
    std::string path;
    std::string body;
    std::string condition; ///< If-Match; empty: none
    bool isCreate = false;
    milliseconds extraTimeout { 0 };

    bool isWrite() const { return method != "GET"; }
};

struct http_object_store::answer {
    std::string body;
    object_version version = 0;
};

class http_object_store::connection_pool {
public:
    explicit connection_pool(const http_object_store_settings& settings)
        : m_settings(settings)
    {
    }

    /// @return an idle connection, or a new one; throws if none can be opened
    session_ptr acquire(bool isNewRequired)
    {
        if (!isNewRequired) {
            const std::lock_guard lock(m_mutex);
            std::erase_if(
                m_idle, [](const idle_connection& entry) { return monotonicNow() - entry.since > maxIdleTime; });
            if (!m_idle.empty()) {
                auto session = std::move(m_idle.back().session);
                m_idle.pop_back();
                return session;
            }
        }
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(m_settings.platform.address, m_settings.platform.port),
            timespanOf(m_settings.connectTimeout));
        socket.setNoDelay(true);
        auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        session->setKeepAlive(true);
        session->setKeepAliveTimeout(Poco::Timespan(sessionKeepAliveSeconds, 0));
        return session;
    }

    void release(session_ptr session)
    {
        const std::lock_guard lock(m_mutex);
        if (m_idle.size() < maxIdleConnections)
            m_idle.push_back(idle_connection { std::move(session), monotonicNow() });
    }

private:
    struct idle_connection {
        session_ptr session;
        monotonic_time since;
    };

    http_object_store_settings m_settings;
    std::mutex m_mutex;
    std::vector<idle_connection> m_idle;
};

http_object_store::http_object_store(http_object_store_settings settings)
    : m_settings(std::move(settings))
    , m_pool(std::make_unique<connection_pool>(m_settings))
{
}

http_object_store::~http_object_store() = default;

tl::expected<http_object_store::answer, error> http_object_store::perform(const call& storeCall)
{
    auto result = exchange(storeCall);
    const bool isOutcomeUnknown = !result && result.error().code == error_code::outcome_unknown;
    if (!isOutcomeUnknown || storeCall.isWrite())
        return result;
    result.error().code = error_code::unavailable;
    return result;
}

tl::expected<http_object_store::answer, error> http_object_store::exchange(const call& storeCall)
{
    const std::string peer = toString(m_settings.platform);
    session_ptr session;
    try {
        // The platform may have closed a pooled connection. A write that fails on one may or may not have been sent, so
        // writes open a new connection.
        session = m_pool->acquire(storeCall.isWrite());
    } catch (const Poco::Exception& problem) {
        return tl::unexpected(error { error_code::unavailable, storeCall.step, peer, problem.displayText() });
    }
    try {
        send(storeCall, *session);
        return receive(storeCall, std::move(session));
    } catch (const Poco::Exception& problem) {
        return tl::unexpected(error { error_code::outcome_unknown, storeCall.step, peer, problem.displayText() });
    } catch (const std::exception& problem) {
        return tl::unexpected(error { error_code::outcome_unknown, storeCall.step, peer, problem.what() });
    }
}

void http_object_store::send(const call& storeCall, Poco::Net::HTTPClientSession& session) const
{
    session.socket().setReceiveTimeout(timespanOf(m_settings.callTimeout + storeCall.extraTimeout));
    session.socket().setSendTimeout(timespanOf(m_settings.callTimeout));
    Poco::Net::HTTPRequest request(storeCall.method, storeCall.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Host", toString(m_settings.platform));
    request.set("Platform-Client", m_settings.client);
    if (storeCall.isCreate)
        request.set("If-None-Match", "*");
    if (!storeCall.condition.empty())
        request.set("If-Match", storeCall.condition);
    request.setContentLength(static_cast<std::streamsize>(storeCall.body.size()));
    session.sendRequest(request) << storeCall.body << std::flush;
}

tl::expected<http_object_store::answer, error> http_object_store::receive(
    const call& storeCall, std::unique_ptr<Poco::Net::HTTPClientSession> session)
{
    const std::string peer = toString(m_settings.platform);
    Poco::Net::HTTPResponse response;
    answer result;
    Poco::StreamCopier::copyToString(session->receiveResponse(response), result.body);
    const bool isComplete
        = !response.hasContentLength() || result.body.size() == static_cast<std::size_t>(response.getContentLength64());
    if (!isComplete)
        return tl::unexpected(error { error_code::outcome_unknown, storeCall.step, peer,
            "answer truncated: body size differs from Content-Length" });
    if (response.getKeepAlive())
        m_pool->release(std::move(session));
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        return tl::unexpected(error { codeOf(response.getStatus()), storeCall.step, peer, result.body });
    result.version = response.has("ETag") ? std::stoull(response.get("ETag")) : 0;
    return result;
}

tl::expected<stored_object, error> http_object_store::get(const std::string& kind, const std::string& name)
{
    call storeCall { "store.get", "GET", "/v1/objects/" + encoded(kind) + "/" + encoded(name), "", "" };
    return perform(storeCall).map([&](const answer& result) {
        return stored_object { kind, name, result.version, result.body };
    });
}

tl::expected<std::vector<stored_object>, error> http_object_store::list(const std::string& kind)
{
    const call storeCall { "store.list", "GET", "/v1/objects/" + encoded(kind), "", "" };
    return perform(storeCall).and_then(
        [](const answer& result) { return readItems<stored_object>(result.body, "objects", objectOf); });
}

tl::expected<object_version, error> http_object_store::create(
    const std::string& kind, const std::string& name, const std::string& value)
{
    call storeCall { "store.create", "PUT", "/v1/objects/" + encoded(kind) + "/" + encoded(name), value, "", true };
    return perform(storeCall).map([](const answer& result) { return result.version; });
}

tl::expected<object_version, error> http_object_store::update(
    const std::string& kind, const std::string& name, const std::string& value, object_version expected)
{
    const call storeCall { "store.update", "PUT", "/v1/objects/" + encoded(kind) + "/" + encoded(name), value,
        std::to_string(expected) };
    return perform(storeCall).map([](const answer& result) { return result.version; });
}

tl::expected<void, error> http_object_store::remove(
    const std::string& kind, const std::string& name, object_version expected)
{
    const call storeCall { "store.remove", "DELETE", "/v1/objects/" + encoded(kind) + "/" + encoded(name), "",
        std::to_string(expected) };
    return perform(storeCall).map([](const answer&) {});
}

tl::expected<std::vector<object_change>, error> http_object_store::watch(
    const std::string& kind, std::uint64_t after, milliseconds maxWait)
{
    call storeCall { "store.watch", "GET",
        "/v1/watch/" + encoded(kind) + "?after=" + std::to_string(after)
            + "&patience_ms=" + std::to_string(maxWait.count()),
        "", "" };
    storeCall.extraTimeout = maxWait;
    return perform(storeCall).and_then([](const answer& result) {
        return readItems<object_change>(result.body, "changes", [](const Poco::JSON::Object::Ptr& json) {
            return object_change { json->getValue<std::uint64_t>("sequence"), json->getValue<bool>("deleted"),
                objectOf(json) };
        });
    });
}

tl::expected<std::vector<platform_instance>, error> http_object_store::instances()
{
    const call storeCall { "store.instances", "GET", "/v1/instances", "", "" };
    return perform(storeCall).and_then([](const answer& result) {
        return readItems<platform_instance>(result.body, "instances", [](const Poco::JSON::Object::Ptr& json) {
            return platform_instance { instance_id(json->getValue<std::string>("instance")),
                json->getValue<bool>("leaving") };
        });
    });
}

} // namespace flamingoroute
