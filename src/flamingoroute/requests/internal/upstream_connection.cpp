#include "flamingoroute/requests/internal/upstream_connection.hpp"

#include "flamingoroute/requests/internal/deadline_socket.hpp"
#include "flamingoroute/requests/internal/upstream_session.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <netinet/tcp.h>

namespace flamingoroute::internal {

namespace {

/// Lets a StreamSocket own a deadline_socket: the constructor of POCO that does so is protected.
class owning_socket : public Poco::Net::StreamSocket {
public:
    explicit owning_socket(deadline_socket* implementation)
        : StreamSocket(implementation)
    {
    }
};

Poco::Timespan timespanOf(microseconds duration) { return Poco::Timespan(duration.count()); }

error failureAt(const std::string& step, const std::string& peer, const Poco::Exception& problem)
{
    const bool isTimeout = dynamic_cast<const Poco::TimeoutException*>(&problem) != nullptr;
    return { isTimeout ? error_code::timeout : error_code::unavailable, step, peer, problem.displayText() };
}

caller_answer answerFrom(const Poco::Net::HTTPResponse& response, std::string body)
{
    caller_answer answer;
    answer.status = response.getStatus();
    for (const auto& field : response)
        answer.headers.push_back({ field.first, field.second });
    answer.body = std::move(body);
    return answer;
}

} // namespace

tl::expected<std::unique_ptr<upstream_connection>, error> upstream_connection::open(
    const upstream& target, const upstream_client_options& options, monotonic_time deadline)
{
    const std::string peer = target.name.value() + "@" + toString(target.address);
    const auto remaining = deadline - monotonicNow();
    if (remaining <= microseconds { 0 })
        return tl::unexpected(error { error_code::timeout, "upstream.connect", peer, "deadline passed" });
    try {
        auto* implementation = new deadline_socket;
        owning_socket socket(implementation);
        const Poco::Net::SocketAddress address(target.address.address, target.address.port);
        socket.connect(address, timespanOf(std::min<microseconds>(remaining, options.connectTimeout)));
        socket.setNoDelay(true);
        implementation->setOption(
            IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(options.unacknowledgedTimeout.count()));
        auto session = std::make_unique<upstream_session>(socket, options.maxAnswerBytes);
        return std::unique_ptr<upstream_connection>(new upstream_connection(peer, implementation, std::move(session)));
    } catch (const Poco::Exception& problem) {
        return tl::unexpected(failureAt("upstream.connect", peer, problem));
    }
}

upstream_connection::upstream_connection(
    std::string peer, deadline_socket* socket, std::unique_ptr<upstream_session> session)
    : m_peer(std::move(peer))
    , m_socket(socket)
    , m_session(std::move(session))
    , m_lastAnswerAt(monotonicNow())
{
}

upstream_connection::~upstream_connection() = default;

exchange_end upstream_connection::exchange(
    const std::string& request, bool isHead, monotonic_time deadline, std::optional<monotonic_time> firstByteBy)
{
    m_socket->beginExchange(deadline, firstByteBy);
    exchange_end end;
    std::string step = "upstream.write";
    try {
        m_session->writeOnce(request);
        step = "upstream.read";
        end = readAnswer(isHead);
    } catch (const Poco::Exception& problem) {
        end.failure = failureAt(step, m_peer, problem);
        end.isUnresponsive = end.failure.code == error_code::timeout && m_socket->bytesReceived() == 0;
    }
    end.hasSent = m_socket->bytesSent() > 0;
    if (end.answer)
        m_lastAnswerAt = monotonicNow();
    return end;
}

exchange_end upstream_connection::readAnswer(bool isHead)
{
    exchange_end end;
    Poco::Net::HTTPResponse response;
    m_session->receiveResponse(response);
    if (m_socket->isClosedByPeer()) {
        end.failure
            = { error_code::unavailable, "upstream.read", m_peer, "connection closed before the end of the header" };
        return end;
    }
    std::string body;
    const auto ended = m_session->readBody(response, isHead, body);
    const int status = response.getStatus();
    if (ended != body_end::whole || !isHttpStatus(status) || isInterimStatus(status)) {
        end.failure = { error_code::unavailable, "upstream.answer", m_peer,
            "not a complete final answer; status: " + std::to_string(status) + "; body: " + toString(ended) };
        return end;
    }
    end.answer = answerFrom(response, std::move(body));
    end.isReusable = response.getKeepAlive() && !m_session->hasUnreadBytes();
    return end;
}

bool upstream_connection::isReusable() const { return m_socket->hasNoPendingInput() && !m_session->hasUnreadBytes(); }

} // namespace flamingoroute::internal
