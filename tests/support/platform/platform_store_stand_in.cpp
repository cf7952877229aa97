#include "support/platform/platform_store_stand_in.hpp"

#include "flamingoroute/settings/json_document.hpp"
#include "support/process/free_port.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <functional>

#include <thread>

namespace flamingoroute::testing {

namespace {

using serve_function = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

class stand_in_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit stand_in_handler(serve_function serve)
        : m_serve(std::move(serve))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        m_serve(request, response);
    }

private:
    serve_function m_serve;
};

class stand_in_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit stand_in_factory(serve_function serve)
        : m_serve(std::move(serve))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new stand_in_handler(m_serve);
    }

private:
    serve_function m_serve;
};

std::string orNull(const std::string& json) { return json.empty() ? "null" : json; }

std::string textOf(const Poco::Dynamic::Var& value)
{
    return value.isEmpty() ? std::string() : toJsonText(value.extract<Poco::JSON::Object::Ptr>());
}

} // namespace

platform_store_stand_in::platform_store_stand_in()
    : m_address(freeLoopbackEndpoint())
{
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    // Each open connection occupies a thread, and a node holds a connection for each kind that it watches.
    constexpr int threads = 256;
    params->setMaxThreads(threads);
    params->setKeepAlive(true);
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(m_address.address, m_address.port));
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new stand_in_factory([this](auto& request, auto& response) { serve(request, response); }), socket, params);
    m_server->start();
}

platform_store_stand_in::~platform_store_stand_in()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_server->stopAll(true);
}

void platform_store_stand_in::store(
    const std::string& kind, const std::string& name, const held_object& object, bool isDeleted)
{
    auto held = object;
    held.revision = ++m_revision;
    if (isDeleted)
        m_objects[kind].erase(name);
    else
        m_objects[kind][name] = held;
    m_history.push_back({ m_revision, kind, name, isDeleted, held });
    m_changed.notify_all();
}

void platform_store_stand_in::put(
    const std::string& kind, const std::string& name, const std::string& specification, const std::string& finalizers)
{
    const std::lock_guard lock(m_mutex);
    specify({ kind, name, specification }, finalizers);
}

void platform_store_stand_in::specify(const specified_object& specified, const std::string& finalizers)
{
    auto object = m_objects[specified.kind][specified.name];
    object.specification = specified.specification;
    object.finalizers = finalizers;
    store(specified.kind, specified.name, object, false);
}

void platform_store_stand_in::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    store(kind, name, m_objects[kind][name], true);
}

void platform_store_stand_in::dropHistory()
{
    const std::lock_guard lock(m_mutex);
    m_historyFrom = m_revision;
    m_changed.notify_all();
}

void platform_store_stand_in::copy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = { m_objects, m_revision };
}

void platform_store_stand_in::restore(const std::vector<specified_object>& rewritten)
{
    const std::lock_guard lock(m_mutex);
    m_objects = m_copy.objects;
    m_revision = m_copy.revision;
    m_history.clear();
    m_historyFrom = m_revision;
    ++m_era;
    for (const auto& object : rewritten)
        specify(object);
    m_changed.notify_all();
}

std::string platform_store_stand_in::statusOf(const std::string& kind, const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return {};
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? std::string() : object->second.status;
}

std::vector<std::string> platform_store_stand_in::names(const std::string& kind) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (const auto& [name, object] : objects->second)
            result.push_back(name);
    }
    return result;
}

std::string platform_store_stand_in::toJson(const std::string& name, const held_object& object)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
        + R"(,"created":1,"finalizers":)" + object.finalizers + R"(,"deleting":false},"specification":)"
        + orNull(object.specification) + R"(,"status":)" + orNull(object.status) + "}";
}

std::string platform_store_stand_in::list(const std::string& kind) const
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (const auto& [name, object] : objects->second)
            items += (items.empty() ? "" : ",") + toJson(name, object);
    }
    return R"({"items":[)" + items + R"(],"more":false,"at":)" + std::to_string(m_revision) + "}";
}

std::string platform_store_stand_in::read(const std::string& kind, const std::string& name, int& status) const
{
    const std::lock_guard lock(m_mutex);
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end() && objects->second.contains(name))
        return toJson(name, objects->second.at(name));
    status = Poco::Net::HTTPResponse::HTTP_NOT_FOUND;
    return "{}";
}

std::string platform_store_stand_in::watch(const std::string& kind, std::uint64_t after, int waitMs, int& status)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    const auto collect = [&] {
        for (const auto& one : m_history) {
            if (one.revision <= after || one.kind != kind)
                continue;
            events += std::string(events.empty() ? "" : ",") + R"({"deleted":)" + (one.isDeleted ? "true" : "false")
                + R"(,"object":)" + toJson(one.name, one.object) + "}";
        }
        return !events.empty() || m_isStopping || m_isDown || after < m_historyFrom || after > m_revision;
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    if (after < m_historyFrom || after > m_revision) {
        status = Poco::Net::HTTPResponse::HTTP_GONE;
        return "{}";
    }
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}";
}

std::string platform_store_stand_in::write(
    const std::string& method, const std::vector<std::string>& path, const std::string& body, int& status)
{
    const std::string& kind = path[1];
    const auto json = parseJsonObject(body.empty() ? "{}" : body, "write").value();
    const auto metadata = json->getObject("metadata");
    const std::string name = path.size() > 2 ? path[2] : metadata->getValue<std::string>("name");
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    const bool exists = found != m_objects[kind].end();
    const bool isConditional = !metadata.isNull() && metadata->has("revision");
    if (method == "POST" ? exists : !exists) {
        status = method == "POST" ? Poco::Net::HTTPResponse::HTTP_CONFLICT : Poco::Net::HTTPResponse::HTTP_NOT_FOUND;
        return "{}";
    }
    held_object object = exists ? found->second : held_object {};
    if (isConditional && metadata->getValue<std::uint64_t>("revision") != object.revision) {
        status = Poco::Net::HTTPResponse::HTTP_CONFLICT;
        return toJson(name, object);
    }
    const bool isStatus = path.size() > 3;
    if (isStatus)
        object.status = textOf(json->get("status"));
    else if (method != "DELETE")
        object.specification = textOf(json->get("specification"));
    store(kind, name, object, method == "DELETE");
    return toJson(name, object);
}

std::uint64_t platform_store_stand_in::eraNow() const
{
    const std::lock_guard lock(m_mutex);
    return m_era;
}

void platform_store_stand_in::waitWhileSilent() const
{
    constexpr std::chrono::milliseconds pollStep { 20 };
    // A connection on which an answer was lost stays silent for good.
    const bool isLost = m_isSilent;
    while (isLost && !m_isStopping)
        std::this_thread::sleep_for(pollStep);
}

void platform_store_stand_in::serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    const Poco::URI uri(request.getURI());
    std::vector<std::string> path;
    uri.getPathSegments(path);
    std::uint64_t after = 0;
    int waitMs = 0;
    bool isWatch = false;
    for (const auto& [name, value] : uri.getQueryParameters()) {
        if (name == "watch") {
            isWatch = true;
            after = std::stoull(value);
        } else if (name == "wait_ms") {
            waitMs = std::stoi(value);
        }
    }
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    int status = Poco::Net::HTTPResponse::HTTP_OK;
    std::string answer = "{}";
    waitWhileSilent();
    if (m_isDown || path.size() < 2)
        status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    else if (request.getMethod() != "GET")
        answer = write(request.getMethod(), path, body, status);
    else if (isWatch)
        answer = watch(path[1], after, waitMs, status);
    else if (path.size() > 2)
        answer = read(path[1], path[2], status);
    else
        answer = list(path[1]);
    waitWhileSilent();
    if (m_isLosingAnswers && request.getMethod() != "GET")
        throw Poco::IOException("answer dropped by the test");
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.set("Store-Era", std::to_string(eraNow()));
    response.setContentLength(static_cast<std::streamsize>(answer.size()));
    response.send() << answer;
}

} // namespace flamingoroute::testing
