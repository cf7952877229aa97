#include "free_port.hpp"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <stdexcept>
#include <unistd.h>

namespace flamingoroute::testing {

namespace {

constexpr int firstPort = 12000;
constexpr int portCount = 20000;
constexpr int portsOfOneProcess = 500;

bool isFree(std::uint16_t port)
{
    try {
        Poco::Net::ServerSocket socket;
        const bool reuseAddress = false;
        socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), reuseAddress);
        socket.listen();
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace

endpoint freeLoopbackEndpoint()
{
    static std::atomic<int> next { (getpid() % (portCount / portsOfOneProcess)) * portsOfOneProcess };
    for (int tries = 0; tries < portCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (isFree(port))
            return endpoint { "127.0.0.1", port };
    }
    throw std::runtime_error("no free port");
}

endpoint freeLoopbackRange()
{
    auto first = freeLoopbackEndpoint();
    for (int tries = 0; tries < portCount; ++tries) {
        const auto second = freeLoopbackEndpoint();
        if (second.port == first.port + 1)
            return first;
        first = second;
    }
    throw std::runtime_error("no two free ports in a row");
}

} // namespace flamingoroute::testing
