#include "http_caller.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include <istream>
#include <ostream>

namespace flamingoroute::testing {

std::string http_reply::header(const std::string& name) const
{
    for (const auto& entry : headers) {
        if (Poco::icompare(entry.name, name) == 0)
            return entry.value;
    }
    return {};
}

http_caller::http_caller(endpoint where, milliseconds timeout)
    : m_where(std::move(where))
    , m_timeout(timeout)
{
}

http_caller::~http_caller() = default;

http_reply http_caller::call(const std::string& method, const std::string& target,
    const std::vector<http_header>& headers, const std::string& body)
{
    http_reply reply;
    try {
        if (!m_session) {
            m_session = std::make_unique<Poco::Net::HTTPClientSession>(m_where.address, m_where.port);
            m_session->setKeepAlive(true);
            const Poco::Timespan keepAliveTimeout(3600, 0);
            m_session->setKeepAliveTimeout(keepAliveTimeout);
            m_session->setTimeout(Poco::Timespan(m_timeout.count() * 1000));
        }
        Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& header : headers)
            request.add(header.name, header.value);
        request.setKeepAlive(true);
        const bool hasBody = !body.empty() || method == "POST" || method == "PUT";
        if (hasBody)
            request.setContentLength(static_cast<std::streamsize>(body.size()));
        auto& out = m_session->sendRequest(request);
        out << body << std::flush;
        Poco::Net::HTTPResponse response;
        auto& in = m_session->receiveResponse(response);
        Poco::StreamCopier::copyToString(in, reply.body);
        const bool isComplete = method == "HEAD" || !response.hasContentLength()
            || static_cast<std::size_t>(response.getContentLength()) == reply.body.size();
        for (const auto& [name, value] : response)
            reply.headers.push_back({ name, value });
        if (isComplete)
            reply.status = response.getStatus();
        else
            reply.failure = "incomplete answer: body size differs from Content-Length";
        if (!isComplete || !response.getKeepAlive())
            m_session.reset();
    } catch (const std::exception& problem) {
        reply.failure = problem.what();
        m_session.reset();
    }
    return reply;
}

http_reply callOnce(const endpoint& where, const std::string& method, const std::string& target,
    const std::vector<http_header>& headers, const std::string& body, milliseconds timeout)
{
    http_caller caller(where, timeout);
    return caller.call(method, target, headers, body);
}

} // namespace flamingoroute::testing
