#include "flamingoroute/runtime/caller_server.hpp"

#include "flamingoroute/requests/request_pipeline.hpp"
#include "flamingoroute/runtime/caller_request_reader.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <ostream>

namespace flamingoroute {

namespace {

const std::string systemPathPrefix = "/flamingo/";

caller_answer malformed(int status, const std::string& detail)
{
    refusal why;
    why.reason = refusal_reason::malformed_request;
    why.step = "read";
    why.detail = detail;
    caller_answer answer = answerOf(why);
    answer.status = status;
    return answer;
}

std::string clientOf(const Poco::Net::HTTPServerRequest& request)
{
    for (const auto& [name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
        if (name == "client")
            return value;
    }
    return request.clientAddress().host().toString();
}

void send(const caller_answer& answer, bool isHead, Poco::Net::HTTPServerResponse& response)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    for (const auto& header : answer.headers)
        response.add(header.name, header.value);
    const bool mayHaveBody = answer.status >= 200 && answer.status != 204 && answer.status != 304;
    if (mayHaveBody && !(isHead && response.has("Content-Length")))
        response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
    auto& stream = response.send();
    if (mayHaveBody && !isHead)
        stream.write(answer.body.data(), static_cast<std::streamsize>(answer.body.size()));
    stream.flush();
}

} // namespace

caller_server::caller_server(entry_options options, std::string requestIdPrefix, caller_server_hooks hooks)
    : m_options(options)
    , m_requestIdPrefix(std::move(requestIdPrefix))
    , m_hooks(std::move(hooks))
{
}

tl::expected<void, error> caller_server::start(const endpoint& where)
{
    http_host_options options;
    options.threads = m_options.callerThreads;
    options.queuedConnections = m_options.callerThreads;
    options.timeout = m_options.callerTimeout;
    options.keepAliveTimeout = m_options.keepAliveTimeout;
    return m_host.start(where, options, [this](auto& request, auto& response) { handle(request, response); });
}

void caller_server::startDraining() { m_isDraining = true; }

void caller_server::stop(milliseconds timeout) { m_host.stop(timeout); }

void caller_server::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    ++m_active;
    try {
        bool isBodyRead = false;
        const caller_answer answer = answerTo(request, isBodyRead);
        if (!isBodyRead || m_isDraining)
            response.setKeepAlive(false);
        send(answer, request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD, response);
    } catch (const Poco::Exception&) {
        response.setKeepAlive(false);
    }
    --m_active;
}

caller_answer caller_server::answerTo(Poco::Net::HTTPServerRequest& request, bool& isBodyRead)
{
    auto read = readCallerRequest(request, m_options);
    if (!read)
        return malformed(read.error().status, read.error().detail);
    isBodyRead = true;
    const std::string& target = request.getURI();
    if (target.compare(0, systemPathPrefix.size(), systemPathPrefix) == 0) {
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/flamingo/v1/instances")
            return m_hooks.lookUp(clientOf(request));
        if (path == "/flamingo/v1/ready")
            return caller_answer { m_hooks.isReady() ? 200 : 503, {}, m_hooks.isReady() ? "ready\n" : "not ready\n" };
        return malformed(404, "unknown system path");
    }
    read->id = m_requestIdPrefix + std::to_string(++m_requestCount);
    return m_hooks.serve(*read);
}

} // namespace flamingoroute
