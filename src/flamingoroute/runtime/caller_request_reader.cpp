#include "flamingoroute/runtime/caller_request_reader.hpp"

#include "flamingoroute/requests/body_reader.hpp"
#include "flamingoroute/requests/header_rules.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/String.h>

#include <array>

namespace flamingoroute {

namespace {

constexpr std::size_t maxTargetBytes = 8000;
constexpr std::size_t maxHeaderBytes = 32 * 1024;
constexpr int bodyTimeoutFactor = 3; ///< multiple of the caller timeout allowed for the complete body

using problem_result = tl::expected<void, request_problem>;

/// Gives access to the raw bytes below POCO's stream, which does not show where a body ended.
class session_access : public Poco::Net::HTTPServerSession {
public:
    static int getFrom(Poco::Net::HTTPServerSession& session) { return (session.*&session_access::get)(); }

    static int readFrom(Poco::Net::HTTPServerSession& session, char* buffer, std::streamsize length)
    {
        return (session.*&session_access::read)(buffer, length);
    }
};

tl::unexpected<request_problem> problem(int status, const std::string& detail)
{
    return tl::unexpected(request_problem { status, detail });
}

problem_result checkSizes(const Poco::Net::HTTPServerRequest& request)
{
    constexpr int uriTooLong = 414;
    constexpr int headersTooLarge = 431;
    if (request.getURI().size() > maxTargetBytes)
        return problem(uriTooLong, "the target is too long");
    std::size_t size = 0;
    for (const auto& [name, value] : request)
        size += name.size() + value.size();
    if (size > maxHeaderBytes)
        return problem(headersTooLarge, "the header is too large");
    return {};
}

problem_result problemOf(body_end end)
{
    constexpr int bodyTooLarge = 413;
    constexpr int badRequest = 400;
    switch (end) {
    case body_end::whole:
    case body_end::unframed:
        return {};
    case body_end::too_large:
        return problem(bodyTooLarge, "the body is too large");
    case body_end::cut:
        return problem(badRequest, "the body is incomplete");
    case body_end::malformed:
        break;
    }
    return problem(badRequest, "the length of the body is invalid or ambiguous");
}

problem_result readBody(Poco::Net::HTTPServerRequest& request, const entry_options& options, std::string& body)
{
    constexpr int requestTimeout = 408;
    auto& session = static_cast<Poco::Net::HTTPServerRequestImpl&>(request).session();
    const auto bodyDeadline = monotonicNow() + bodyTimeoutFactor * options.callerTimeout;
    const auto checkTime = [bodyDeadline] {
        if (monotonicNow() > bodyDeadline)
            throw Poco::TimeoutException("the body is received too slowly");
    };
    const body_source source { [&] {
                                  checkTime();
                                  return session_access::getFrom(session);
                              },
        [&](char* buffer, std::streamsize length) {
            checkTime();
            return session_access::readFrom(session, buffer, length);
        } };
    try {
        body_reader reader(source, static_cast<std::size_t>(options.maxBodyBytes));
        return problemOf(reader.readFramed(request, body));
    } catch (const Poco::TimeoutException&) {
        return problem(requestTimeout, "timed out while reading the body");
    }
}

std::string keyOf(const Poco::Net::HTTPServerRequest& request)
{
    const std::string bearer = "bearer ";
    const std::string authorization = request.get("Authorization", "");
    if (Poco::toLower(authorization.substr(0, bearer.size())) == bearer)
        return authorization.substr(bearer.size());
    return request.get("X-Api-Key", "");
}

std::vector<http_header> headersOf(const Poco::Net::HTTPServerRequest& request)
{
    std::vector<http_header> headers;
    for (const auto& [name, value] : request) {
        if (!isSameHeaderName(name, "Content-Length") && !isSameHeaderName(name, "Expect"))
            headers.push_back({ name, value });
    }
    return withoutCredentials(endToEndHeaders(headers));
}

} // namespace

tl::expected<caller_request, request_problem> readCallerRequest(
    Poco::Net::HTTPServerRequest& request, const entry_options& options)
{
    caller_request read;
    read.arrivedAt = monotonicNow();
    const bool needsHost = request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    if (needsHost && request.get("Host", "").empty())
        return tl::unexpected(request_problem { Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "no Host header" });
    const auto checked = checkSizes(request).and_then([&] { return readBody(request, options, read.body); });
    if (!checked)
        return tl::unexpected(checked.error());
    read.method = request.getMethod();
    read.target = withoutCredentialParameters(request.getURI());
    read.key = keyOf(request);
    read.idempotencyKey = request.get("Idempotency-Key", "");
    read.clientAddress = request.clientAddress().host().toString();
    read.headers = headersOf(request);
    return read;
}

} // namespace flamingoroute
