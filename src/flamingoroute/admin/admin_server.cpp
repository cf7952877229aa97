#include "flamingoroute/admin/admin_server.hpp"

#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <istream>

namespace flamingoroute {

namespace {

const std::string commandPrefix = "/admin/v1/commands/";
const std::string queryPrefix = "/admin/v1/queries/";
const std::string bearerPrefix = "Bearer ";
constexpr std::streamsize maxBodyBytes = 64 * 1024 * 1024;

bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string tokenOf(const Poco::Net::HTTPServerRequest& request)
{
    const std::string value = request.get("Authorization", "");
    return startsWith(value, bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string();
}

} // namespace

admin_server::admin_server(operator_tokens tokens, admin_registry registry)
    : m_tokens(std::move(tokens))
    , m_registry(std::move(registry))
{
}

tl::expected<void, error> admin_server::start(const endpoint& listenAddress)
{
    return m_host.start(
        listenAddress, http_host_options {}, [this](auto& request, auto& response) { handle(request, response); });
}

void admin_server::stop(milliseconds timeout) { m_host.stop(timeout); }

void admin_server::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) const
{
    const admin_answer answer = answerTo(request);
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType(answer.contentType);
    response.sendBuffer(answer.body.data(), answer.body.size());
}

admin_answer admin_server::answerTo(Poco::Net::HTTPServerRequest& request) const
{
    const std::string caller = request.clientAddress().toString();
    const auto operatorName = m_tokens.operatorOf(tokenOf(request));
    if (!operatorName) {
        return answerWith(
            error { error_code::unauthorized, "admin.authenticate", caller, "the operator token is not valid" });
    }
    admin_request call;
    call.operatorName = *operatorName;
    const Poco::URI uri(request.getURI());
    const std::string path = uri.getPath();
    if (request.getMethod() == "GET" && startsWith(path, queryPrefix)) {
        call.name = path.substr(queryPrefix.size());
        for (const auto& [name, value] : uri.getQueryParameters())
            call.parameters[name] = value;
        return m_registry.runQuery(call);
    }
    if (request.getMethod() != "POST" || !startsWith(path, commandPrefix))
        return answerWith(error { error_code::not_found, "admin.route", caller, "not a path of the admin API" });
    if (request.getContentLength() > maxBodyBytes)
        return answerWith(error { error_code::invalid_input, "admin.read", caller, "the body is too large" });
    call.name = path.substr(commandPrefix.size());
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    const auto body = parseJsonObject(text.empty() ? "{}" : text, "body of " + call.name);
    if (!body)
        return answerWith(body.error());
    call.body = *body;
    const admin_answer answer = m_registry.runCommand(call);
    event_line(log_level::info, "admin.command")
        .with("operator", call.operatorName)
        .with("command", call.name)
        .with("status", answer.status);
    return answer;
}

} // namespace flamingoroute
