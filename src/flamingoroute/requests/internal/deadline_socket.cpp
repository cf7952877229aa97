#include "flamingoroute/requests/internal/deadline_socket.hpp"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace flamingoroute::internal {

void deadline_socket::beginExchange(monotonic_time deadline, std::optional<monotonic_time> firstByteBy)
{
    m_deadline = deadline;
    m_firstByteBy = firstByteBy;
    m_bytesSent = 0;
    m_bytesReceived = 0;
    m_isClosedByPeer = false;
}

int deadline_socket::sendBytes(const void* buffer, int length, int)
{
    const auto* bytes = static_cast<const char*>(buffer);
    int sent = 0;
    while (sent < length) {
        const auto count = ::send(sockfd(), bytes + sent, length - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<int>(count);
            m_bytesSent += count;
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            waitFor(POLLOUT, m_deadline);
        } else if (errno != EINTR) {
            throw Poco::Net::NetException("send", std::strerror(errno), errno);
        }
    }
    return sent;
}

int deadline_socket::receiveBytes(void* buffer, int length, int)
{
    while (true) {
        const auto count = ::recv(sockfd(), buffer, length, MSG_DONTWAIT);
        if (count > 0) {
            m_bytesReceived += count;
            return static_cast<int>(count);
        }
        if (count == 0) {
            m_isClosedByPeer = true;
            return 0;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            waitFor(POLLIN, receiveDeadline());
        else if (errno != EINTR)
            throw Poco::Net::NetException("receive", std::strerror(errno), errno);
    }
}

bool deadline_socket::hasNoPendingInput() const
{
    pollfd watched { sockfd(), POLLIN, 0 };
    return ::poll(&watched, 1, 0) == 0;
}

void deadline_socket::waitFor(short events, monotonic_time until) const
{
    const auto remaining = until - monotonicNow();
    if (remaining <= microseconds { 0 })
        throw Poco::TimeoutException("deadline passed");
    constexpr milliseconds maxWait { 60'000 };
    const auto timeout = std::min(std::chrono::ceil<milliseconds>(remaining), maxWait);
    pollfd watched { sockfd(), events, 0 };
    ::poll(&watched, 1, static_cast<int>(timeout.count()));
}

monotonic_time deadline_socket::receiveDeadline() const
{
    if (m_firstByteBy && m_bytesReceived == 0)
        return std::min(*m_firstByteBy, m_deadline);
    return m_deadline;
}

} // namespace flamingoroute::internal
