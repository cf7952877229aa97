#include "flamingoroute/requests/internal/request_writer.hpp"

#include "flamingoroute/requests/header_rules.hpp"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>

namespace flamingoroute::internal {

namespace {

constexpr std::array reservedRequestNames { "Host", "Content-Length", "Expect", "Request-Id", "Request-Deadline-Ms" };
constexpr std::array reservedAnswerNames { "Upstream-Load", "Upstream-Leaving", "Upstream-Execution",
    "Flamingo-Execution" };

template <typename Names> bool isOneOf(const Names& names, const std::string& name)
{
    return std::any_of(names.begin(), names.end(), [&](const char* one) { return isSameHeaderName(one, name); });
}

bool needsLength(const caller_request& request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}

} // namespace

std::string serializeRequest(const upstream& target, const caller_request& request, microseconds remaining)
{
    Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
    const std::string host = headerValue(request.headers, "Host");
    head.setHost(host.empty() ? toString(target.address) : host);
    for (const auto& header : withoutCredentials(endToEndHeaders(request.headers))) {
        if (!isOneOf(reservedRequestNames, header.name))
            head.add(header.name, header.value);
    }
    const auto remainingMs = std::chrono::duration_cast<milliseconds>(remaining).count();
    head.set("Request-Id", request.id);
    head.set("Request-Deadline-Ms", std::to_string(remainingMs));
    if (needsLength(request))
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    std::ostringstream text;
    head.write(text);
    return text.str() + request.body;
}

std::vector<http_header> headersForCaller(const std::vector<http_header>& headers, bool keepsLength)
{
    const auto passed = endToEndHeaders(headers);
    std::vector<http_header> kept;
    std::copy_if(passed.begin(), passed.end(), std::back_inserter(kept), [&](const http_header& header) {
        if (isSameHeaderName(header.name, "Content-Length"))
            return keepsLength;
        return !isOneOf(reservedAnswerNames, header.name);
    });
    return kept;
}

} // namespace flamingoroute::internal
