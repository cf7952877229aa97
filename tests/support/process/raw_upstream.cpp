#include "support/process/raw_upstream.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>

namespace flamingoroute::testing {

namespace {

const Poco::Timespan pollStep(0, 20'000);

std::size_t contentLengthOf(const std::string& head)
{
    const std::string name = "\r\nContent-Length: ";
    const auto start = head.find(name);
    return start == std::string::npos ? 0 : std::stoul(head.substr(start + name.size()));
}

} // namespace

raw_upstream::raw_upstream(script run)
    : m_run(std::move(run))
    , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_acceptor([this] { acceptAll(); })
{
}

raw_upstream::~raw_upstream()
{
    m_isStopping = true;
    m_acceptor.join();
    for (auto& worker : m_workers)
        worker.join();
}

upstream raw_upstream::target() const
{
    upstream result;
    result.name = upstream_id("raw");
    result.address = { "127.0.0.1", m_listener.address().port() };
    return result;
}

void raw_upstream::acceptAll()
{
    while (!m_isStopping) {
        if (!m_listener.poll(pollStep, Poco::Net::Socket::SELECT_READ))
            continue;
        m_workers.emplace_back([this, connection = m_listener.acceptConnection()]() mutable {
            try {
                m_run(*this, connection, ++m_connectionCount);
                connection.close();
            } catch (const Poco::Exception&) {
                connection.close();
            }
            ++m_closedCount;
        });
    }
}

std::string raw_upstream::readRequest(Poco::Net::StreamSocket& connection)
{
    std::string text;
    std::array<char, 4096> buffer;
    while (!m_isStopping) {
        if (!connection.poll(pollStep, Poco::Net::Socket::SELECT_READ))
            continue;
        const int count = connection.receiveBytes(buffer.data(), buffer.size());
        if (count <= 0)
            return {};
        text.append(buffer.data(), count);
        const auto headEnd = text.find("\r\n\r\n");
        if (headEnd != std::string::npos && text.size() >= headEnd + 4 + contentLengthOf(text.substr(0, headEnd))) {
            ++m_requestCount;
            return text;
        }
    }
    return {};
}

void raw_upstream::send(Poco::Net::StreamSocket& connection, const std::string& text)
{
    connection.sendBytes(text.data(), static_cast<int>(text.size()));
}

void raw_upstream::waitForClose(Poco::Net::StreamSocket& connection) const
{
    std::array<char, 4096> buffer;
    while (!m_isStopping) {
        if (connection.poll(pollStep, Poco::Net::Socket::SELECT_READ)
            && connection.receiveBytes(buffer.data(), buffer.size()) <= 0)
            return;
    }
}

std::string headerIn(const std::string& request, const std::string& name)
{
    const std::string label = "\r\n" + name + ": ";
    const auto at = request.find(label);
    if (at == std::string::npos)
        return {};
    const auto start = at + label.size();
    return request.substr(start, request.find("\r\n", start) - start);
}

std::string sizedAnswer(const std::string& body, const std::string& extraHeaders)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extraHeaders + "\r\n" + body;
}

void answerAll(raw_upstream& self, Poco::Net::StreamSocket& connection, const std::string& answer)
{
    while (!self.readRequest(connection).empty())
        raw_upstream::send(connection, answer);
}

} // namespace flamingoroute::testing
