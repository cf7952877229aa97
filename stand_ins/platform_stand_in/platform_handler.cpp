#include "platform_stand_in/platform_handler.hpp"

#include "platform_stand_in/instance_list.hpp"
#include "platform_stand_in/platform.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <thread>

namespace flamingoroute::stand_in {

namespace {

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;

constexpr std::int64_t maxTimeoutMs = 60'000;

void send(http_response& response, int status, const std::string& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send().write(body.data(), static_cast<std::streamsize>(body.size()));
}

void sendJson(http_response& response, const Poco::JSON::Object::Ptr& json)
{
    response.setContentType("application/json");
    send(response, Poco::Net::HTTPResponse::HTTP_OK, toJsonText(json));
}

/// Closes the connection without an answer.
void closeWithoutAnswer(http_request& request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
}

std::string bodyOf(http_request& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

Poco::JSON::Object::Ptr toJson(const stored_object& object)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("kind", object.kind);
    json->set("name", object.name);
    json->set("version", object.version);
    json->set("value", object.value);
    return json;
}

std::uint64_t numberParameter(const http_request& request, const std::string& name)
{
    for (const auto& [key, value] : Poco::URI(request.getURI()).getQueryParameters()) {
        if (key == name)
            return std::stoull(value);
    }
    return 0;
}

int statusOf(const error& failure)
{
    switch (failure.code) {
    case error_code::conflict:
        return Poco::Net::HTTPResponse::HTTP_PRECONDITION_FAILED;
    case error_code::not_found:
        return Poco::Net::HTTPResponse::HTTP_NOT_FOUND;
    default:
        return Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    }
}

} // namespace

platform_handler::platform_handler(platform& shared)
    : m_platform(shared)
{
}

void platform_handler::handleRequest(http_request& request, http_response& response)
{
    path_segments path;
    Poco::URI(request.getURI()).getPathSegments(path);
    if (path.empty() || path[0] != "v1") {
        handleTestCall(path, request, response);
        return;
    }
    const std::string client = request.get("Platform-Client", "");
    if (m_platform.faults.isDisconnected(client)) {
        m_platform.counters.count("cut");
        closeWithoutAnswer(request);
        return;
    }
    std::this_thread::sleep_for(m_platform.faults.delay());
    const std::string resource = path.size() > 1 ? path[1] : "";
    if (resource == "objects" && path.size() >= 3)
        handleObjects(path, request, response);
    else if (resource == "watch" && path.size() == 3)
        handleWatch(path[2], request, response);
    else if (resource == "instances")
        sendInstances(response);
    else
        send(response, Poco::Net::HTTPResponse::HTTP_NOT_FOUND, "");
}

void platform_handler::handleTestCall(const path_segments& path, http_request& request, http_response& response)
{
    const std::string resource = path.empty() ? "" : path[0];
    if (resource == "stats") {
        sendJson(response, m_platform.counters.toJson());
        return;
    }
    if (resource == "dump") {
        sendJson(response, m_platform.objects.dump());
        return;
    }
    const auto requestBody = parseJsonObject(bodyOf(request), "request");
    if (!requestBody || (resource != "faults" && resource != "restore" && resource != "instances")) {
        send(response, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST,
            requestBody ? "unknown call" : describe(requestBody.error()));
        return;
    }
    if (resource == "faults") {
        m_platform.faults.apply(*requestBody);
        m_platform.objects.wakeAll();
    } else if (resource == "restore") {
        m_platform.objects.restore(*requestBody);
    } else {
        problem_list problems;
        json_reader reader(*requestBody, "request", problems);
        const auto instances = readInstances(reader);
        const std::lock_guard lock(m_platform.instancesMutex);
        m_platform.instances = instances;
    }
    send(response, Poco::Net::HTTPResponse::HTTP_OK, "");
}

void platform_handler::handleObjects(const path_segments& path, http_request& request, http_response& response)
{
    if (request.getMethod() == "PUT" || request.getMethod() == "DELETE") {
        handleWrite(path, request, response);
        return;
    }
    if (path.size() == 3) {
        m_platform.counters.count("list");
        Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
        for (const auto& object : m_platform.objects.list(path[2]))
            array->add(toJson(object));
        Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
        json->set("objects", array);
        sendJson(response, json);
        return;
    }
    m_platform.counters.count("get");
    const auto object = m_platform.objects.get(path[2], path[3]);
    if (!object) {
        send(response, Poco::Net::HTTPResponse::HTTP_NOT_FOUND, "");
        return;
    }
    response.set("ETag", std::to_string(object->version));
    send(response, Poco::Net::HTTPResponse::HTTP_OK, object->value);
}

void platform_handler::handleWrite(const path_segments& path, http_request& request, http_response& response)
{
    m_platform.counters.count(request.getMethod() == "PUT" ? "put" : "delete");
    const std::string value = bodyOf(request);
    std::optional<object_version> expected;
    if (request.has("If-Match"))
        expected = std::stoull(request.get("If-Match"));
    if (path.size() != 4 || (!expected && request.get("If-None-Match", "") != "*")) {
        send(response, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "requires a name and a condition");
        return;
    }
    const auto done = request.getMethod() == "PUT" ? m_platform.objects.put(path[2], path[3], value, expected)
                                                   : m_platform.objects.remove(path[2], path[3], expected.value_or(0));
    if (m_platform.faults.consumeLostAnswer(path[2])) {
        closeWithoutAnswer(request);
        return;
    }
    if (!done) {
        send(response, statusOf(done.error()), done.error().detail);
        return;
    }
    response.set("ETag", std::to_string(*done));
    send(response, Poco::Net::HTTPResponse::HTTP_OK, "");
}

void platform_handler::handleWatch(const std::string& kind, http_request& request, http_response& response)
{
    m_platform.counters.count("watch");
    const auto timeout
        = std::min<std::int64_t>(static_cast<std::int64_t>(numberParameter(request, "patience_ms")), maxTimeoutMs);
    const auto changes = m_platform.objects.watch(kind, numberParameter(request, "after"), milliseconds(timeout));
    if (m_platform.faults.isDisconnected(request.get("Platform-Client", ""))) {
        closeWithoutAnswer(request);
        return;
    }
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const auto& change : changes) {
        Poco::JSON::Object::Ptr item = toJson(change.object);
        item->set("sequence", change.sequence);
        item->set("deleted", change.isDeleted);
        array->add(item);
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("changes", array);
    sendJson(response, json);
}

void platform_handler::sendInstances(http_response& response)
{
    m_platform.counters.count("instances");
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    const std::lock_guard lock(m_platform.instancesMutex);
    for (const auto& line : m_platform.instances) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("instance", line.instance.value());
        item->set("leaving", line.isLeaving);
        array->add(item);
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("instances", array);
    sendJson(response, json);
}

} // namespace flamingoroute::stand_in
