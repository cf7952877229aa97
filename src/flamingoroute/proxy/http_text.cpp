#include "flamingoroute/proxy/http_text.hpp"

#include "flamingoroute/requests/header_rules.hpp"

#include <Poco/Net/HTTPResponse.h>

namespace flamingoroute {

namespace {

bool isLengthHeader(const http_header& header) { return isSameHeaderName(header.name, "Content-Length"); }

void appendHeader(std::string& text, const std::string& name, const std::string& value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

void appendHeaders(std::string& text, const std::vector<http_header>& headers)
{
    for (const auto& header : endToEndHeaders(headers)) {
        if (!isLengthHeader(header))
            appendHeader(text, header.name, header.value);
    }
}

bool isBodyForbidden(int status)
{
    return status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

} // namespace

std::string serializeHead(const http_request& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    appendHeaders(text, request.headers);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    text += "\r\n";
    return text;
}

std::string serializeHttp(const caller_answer& answer, bool isKeepAlive, bool includeBody)
{
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status);
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " "
        + Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
    appendHeaders(text, answer.headers);
    if (!isBodyForbidden(answer.status))
        appendHeader(text, "Content-Length", std::to_string(answer.body.size()));
    if (!isKeepAlive)
        appendHeader(text, "Connection", "close");
    text += "\r\n";
    if (includeBody)
        text += answer.body;
    return text;
}

} // namespace flamingoroute
