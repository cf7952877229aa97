#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_DEADLINE_SOCKET_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_DEADLINE_SOCKET_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstddef>
#include <optional>

namespace flamingoroute::internal {

/// A TCP socket whose calls all end by one deadline, even if bytes arrive slowly, and that counts the bytes of the
/// current exchange.
class deadline_socket : public Poco::Net::StreamSocketImpl {
public:
    using Poco::Net::SocketImpl::receiveBytes;
    using Poco::Net::StreamSocketImpl::sendBytes;

    /// Starts a new exchange.
    /// @param deadline calls that would block after this time throw Poco::TimeoutException
    /// @param firstByteBy an earlier deadline for the first byte received
    void beginExchange(monotonic_time deadline, std::optional<monotonic_time> firstByteBy);

    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;

    /// @return whether there is nothing to read: no byte, no end of stream and no error
    bool hasNoPendingInput() const;

    std::size_t bytesSent() const { return m_bytesSent; }
    std::size_t bytesReceived() const { return m_bytesReceived; }
    bool isClosedByPeer() const { return m_isClosedByPeer; }

private:
    void waitFor(short events, monotonic_time until) const;
    monotonic_time receiveDeadline() const;

    monotonic_time m_deadline = monotonic_time::max();
    std::optional<monotonic_time> m_firstByteBy;
    std::size_t m_bytesSent = 0;
    std::size_t m_bytesReceived = 0;
    bool m_isClosedByPeer = false;
};

} // namespace flamingoroute::internal

#endif
