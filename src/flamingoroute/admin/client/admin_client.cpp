#include "flamingoroute/admin/client/admin_client.hpp"

#include "flamingoroute/settings/json_document.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <istream>
#include <ostream>

namespace flamingoroute {

namespace {

constexpr int callTimeoutSeconds = 15;
constexpr int firstErrorStatus = 400;

error_code codeNamed(const std::string& name)
{
    for (const auto code : { error_code::invalid_input, error_code::not_found, error_code::conflict,
             error_code::unavailable, error_code::timeout, error_code::outcome_unknown, error_code::unauthorized }) {
        if (name == toString(code))
            return code;
    }
    return name == "invalid_objects" ? error_code::invalid_input : error_code::internal;
}

std::string problemLines(const Poco::JSON::Object::Ptr& body)
{
    std::string lines;
    const auto list = body->getArray("problems");
    for (std::size_t i = 0; !list.isNull() && i < list->size(); ++i) {
        const auto line = list->getObject(static_cast<unsigned>(i));
        lines += "\n  " + line->optValue<std::string>("path", "") + ": " + line->optValue<std::string>("rule", "");
    }
    return lines;
}

error parseErrorBody(const std::string& text, const std::string& peer)
{
    const auto body = parseJsonObject(text, peer);
    if (!body)
        return error { error_code::internal, "admin.answer", peer, text };
    error failure;
    failure.code = codeNamed((*body)->optValue<std::string>("error", ""));
    failure.step = (*body)->optValue<std::string>("step", "check");
    failure.peer = (*body)->optValue<std::string>("peer", peer);
    failure.detail = (*body)->optValue<std::string>("detail", "the objects have problems:") + problemLines(*body);
    return failure;
}

} // namespace

admin_client::admin_client(endpoint adminAddress, std::string token)
    : m_endpoint(std::move(adminAddress))
    , m_token(std::move(token))
{
}

tl::expected<std::string, error> admin_client::call(
    const std::string& method, const std::string& path, const std::string& body) const
{
    const std::string peer = toString(m_endpoint);
    bool isSent = false;
    try {
        Poco::Net::HTTPClientSession session(m_endpoint.address, m_endpoint.port);
        session.setTimeout(Poco::Timespan(callTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + m_token);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        auto& out = session.sendRequest(request);
        isSent = true;
        out << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
        if (response.getStatus() >= firstErrorStatus)
            return tl::unexpected(parseErrorBody(answer, peer));
        return answer;
    } catch (const Poco::Exception& problem) {
        const bool isUnknown = isSent && method == "POST";
        const auto code = isUnknown ? error_code::outcome_unknown : error_code::unavailable;
        return tl::unexpected(error { code, "admin.call", peer, problem.displayText() });
    }
}

tl::expected<Poco::JSON::Object::Ptr, error> admin_client::command(
    const std::string& name, const Poco::JSON::Object::Ptr& body) const
{
    const auto answer = call("POST", "/admin/v1/commands/" + name, toJsonText(body));
    if (!answer)
        return tl::unexpected(answer.error());
    return parseJsonObject(*answer, toString(m_endpoint));
}

tl::expected<Poco::JSON::Object::Ptr, error> admin_client::query(
    const std::string& name, const std::string& parameters) const
{
    const auto answer = queryText(name, parameters);
    if (!answer)
        return tl::unexpected(answer.error());
    return parseJsonObject(*answer, toString(m_endpoint));
}

tl::expected<std::string, error> admin_client::queryText(const std::string& name, const std::string& parameters) const
{
    const std::string suffix = parameters.empty() ? "" : "?" + parameters;
    return call("GET", "/admin/v1/queries/" + name + suffix, "");
}

} // namespace flamingoroute
