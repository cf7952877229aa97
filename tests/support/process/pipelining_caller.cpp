#include "support/process/pipelining_caller.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace flamingoroute::testing {

namespace {

const std::string headerEnd = "\r\n\r\n";
const std::string statusLineStart = "HTTP/1.1 ";

Poco::Timespan timespanOf(milliseconds duration) { return Poco::Timespan(duration.count() * 1000); }

/// @param head status line and headers
http_reply parseHead(const std::string& head)
{
    http_reply reply;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    if (line.rfind(statusLineStart, 0) == 0)
        reply.status = std::atoi(line.c_str() + statusLineStart.size());
    while (std::getline(lines, line) && line.size() > 1) {
        line.pop_back();
        const auto colon = line.find(": ");
        if (colon != std::string::npos)
            reply.headers.push_back({ line.substr(0, colon), line.substr(colon + 2) });
    }
    return reply;
}

} // namespace

pipelining_caller::pipelining_caller(const endpoint& where, milliseconds timeout)
{
    try {
        m_socket.connect(Poco::Net::SocketAddress(where.address, where.port), timespanOf(timeout));
        m_socket.setReceiveTimeout(timespanOf(timeout));
        m_socket.setNoDelay(true);
    } catch (const Poco::Exception& problem) {
        fail(problem.displayText());
    }
}

void pipelining_caller::fail(const std::string& detail)
{
    m_failure = detail;
    m_socket.close();
}

void pipelining_caller::send(const std::string& method, const std::string& target,
    const std::vector<http_header>& headers, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& header : headers)
        text += header.name + ": " + header.value + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    sendBytes(text + "\r\n" + body);
}

bool pipelining_caller::sendBytes(const std::string& bytes)
{
    if (!m_failure.empty())
        return false;
    try {
        m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return true;
    } catch (const Poco::Exception&) {
        // The peer has closed the connection; answers that it sent before may still be read.
        return false;
    }
}

bool pipelining_caller::readMore()
{
    if (!m_failure.empty())
        return false;
    std::array<char, 8192> buffer {};
    try {
        const int size = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        m_unread.append(buffer.data(), static_cast<std::size_t>(std::max(0, size)));
        if (size <= 0)
            fail("closed");
        return size > 0;
    } catch (const Poco::Exception& problem) {
        fail(problem.displayText());
        return false;
    }
}

http_reply pipelining_caller::receive()
{
    std::size_t headSize = std::string::npos;
    while ((headSize = m_unread.find(headerEnd)) == std::string::npos) {
        if (!readMore())
            return http_reply { 0, {}, {}, m_failure };
    }
    auto reply = parseHead(m_unread.substr(0, headSize + headerEnd.size()));
    const auto bodySize = static_cast<std::size_t>(std::atoi(reply.header("Content-Length").c_str()));
    const auto bodyStart = headSize + headerEnd.size();
    while (m_unread.size() < bodyStart + bodySize) {
        if (!readMore())
            return http_reply { 0, {}, {}, m_failure };
    }
    reply.body = m_unread.substr(bodyStart, bodySize);
    m_unread.erase(0, bodyStart + bodySize);
    return reply;
}

} // namespace flamingoroute::testing
