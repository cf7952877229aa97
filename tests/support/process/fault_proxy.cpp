#include "fault_proxy.hpp"

#include "free_port.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <deque>
#include <list>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

namespace flamingoroute::testing {

namespace {

constexpr std::size_t readBytes = 64 * 1024;
constexpr std::size_t maxBufferedBytes = 4 * 1024 * 1024;
constexpr int pollMs = 2;
constexpr int backlog = 256;

sockaddr_in nativeAddress(const endpoint& where)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    return address;
}

void makeNonBlocking(int socket)
{
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void resetAndClose(int socket)
{
    const linger abort { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(socket);
}

struct delayed_bytes {
    monotonic_time dueAt;
    std::string bytes;
};

/// One direction of a connection.
struct half_stream {
    int from = -1;
    int to = -1;
    std::deque<delayed_bytes> queue;
    std::size_t queuedBytes = 0;
    bool isFromClosed = false;
    bool isShutDown = false;

    bool canRead() const { return !isFromClosed && queuedBytes < maxBufferedBytes; }
    bool isFinished() const { return isFromClosed && queue.empty(); }
};

struct connection {
    int caller = -1;
    int target = -1;
    half_stream forward;
    half_stream backward;
    std::int64_t backwardBytes = 0;
    bool isFrozen = false;
    bool isBroken = false;
    bool isEndHandled = false; ///< whether the end of the target's stream has been handled
};

struct link {
    std::string name;
    endpoint target;
    endpoint where;
    int listener = -1; ///< -1 while the target refuses connections
    link_fault fault;
    std::list<connection> connections;
};

int listenAt(const endpoint& where)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = nativeAddress(where);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || listen(listener, backlog) != 0) {
        close(listener);
        return -1;
    }
    fcntl(listener, F_SETFL, O_NONBLOCK);
    return listener;
}

/// @return a connected socket, or -1
int connectTo(const endpoint& target)
{
    const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = nativeAddress(target);
    if (connect(connected, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return connected;
    close(connected);
    return -1;
}

/// Closes the listener if the target is unreachable, so that callers see a refused connection as from the target
/// itself. Without this, callers would mistake an accept by the proxy for one by the target.
void refuseIfUnreachable(link& on)
{
    const int probe = connectTo(on.target);
    if (probe >= 0) {
        close(probe);
        return;
    }
    close(on.listener);
    on.listener = -1;
}

void listenIfReachable(link& on)
{
    const int probe = connectTo(on.target);
    if (probe < 0)
        return;
    close(probe);
    on.listener = listenAt(on.where);
}

void readInto(half_stream& stream, bool isDropped, milliseconds delay, connection& owner, bool isBackward)
{
    std::string bytes(readBytes, '\0');
    const auto got = recv(stream.from, bytes.data(), bytes.size(), 0);
    if (got < 0) {
        owner.isBroken = owner.isBroken || (errno != EAGAIN && errno != EINTR);
        return;
    }
    if (got == 0) {
        stream.isFromClosed = true;
        return;
    }
    if (isBackward)
        owner.backwardBytes += got;
    if (isDropped)
        return;
    bytes.resize(static_cast<std::size_t>(got));
    stream.queuedBytes += bytes.size();
    stream.queue.push_back({ monotonicNow() + delay, std::move(bytes) });
}

void writeDue(half_stream& stream, connection& owner)
{
    const auto now = monotonicNow();
    while (!stream.queue.empty() && stream.queue.front().dueAt <= now) {
        auto& front = stream.queue.front();
        const auto sent = send(stream.to, front.bytes.data(), front.bytes.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            owner.isBroken = owner.isBroken || (errno != EAGAIN && errno != EINTR);
            return;
        }
        stream.queuedBytes -= static_cast<std::size_t>(sent);
        front.bytes.erase(0, static_cast<std::size_t>(sent));
        if (!front.bytes.empty())
            return;
        stream.queue.pop_front();
    }
    if (stream.isFinished() && !stream.isShutDown) {
        shutdown(stream.to, SHUT_WR);
        stream.isShutDown = true;
    }
}

} // namespace

struct fault_proxy::state {
    std::mutex mutex;
    std::list<link> links;
    std::atomic<bool> isStopping { false };
    std::thread thread;

    void acceptAll(link& on)
    {
        while (true) {
            const int caller = accept4(on.listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller < 0)
                return;
            if (on.fault.isDisconnected) {
                resetAndClose(caller);
                continue;
            }
            const int target = connectTo(on.target);
            if (target < 0) {
                resetAndClose(caller);
                refuseIfUnreachable(on);
                return;
            }
            makeNonBlocking(caller);
            makeNonBlocking(target);
            connection added;
            added.caller = caller;
            added.target = target;
            added.forward.from = caller;
            added.forward.to = target;
            added.backward.from = target;
            added.backward.to = caller;
            on.connections.push_back(std::move(added));
        }
    }

    static void pump(link& on, connection& each, short callerEvents, short targetEvents)
    {
        if (callerEvents & (POLLIN | POLLHUP | POLLERR))
            readInto(each.forward, on.fault.isForwardDropped, on.fault.delay, each, false);
        if (targetEvents & (POLLIN | POLLHUP | POLLERR))
            readInto(each.backward, on.fault.isBackwardDropped, on.fault.delay, each, true);
        const bool hasTargetEnded = each.backward.isFromClosed || each.isBroken;
        if (hasTargetEnded && !each.isEndHandled && on.listener >= 0)
            refuseIfUnreachable(on);
        each.isEndHandled = hasTargetEnded;
        writeDue(each.forward, each);
        writeDue(each.backward, each);
        const auto cutAfter = on.fault.resetAfterAnswerBytes;
        if (cutAfter >= 0 && each.backwardBytes > cutAfter)
            each.isBroken = true;
        if (each.forward.isShutDown && each.backward.isShutDown)
            each.isBroken = true;
    }

    static void closeBroken(link& on)
    {
        for (auto it = on.connections.begin(); it != on.connections.end();) {
            if (!it->isBroken && !on.fault.isDisconnected) {
                ++it;
                continue;
            }
            const bool isClean = it->forward.isShutDown && it->backward.isShutDown;
            if (isClean) {
                close(it->caller);
                close(it->target);
            } else {
                resetAndClose(it->caller);
                resetAndClose(it->target);
            }
            it = on.connections.erase(it);
        }
    }

    void runOnce()
    {
        std::vector<pollfd> polled;
        const std::lock_guard lock(mutex);
        for (auto& on : links) {
            if (on.listener < 0 && !on.fault.isDisconnected)
                listenIfReachable(on);
            polled.push_back({ on.listener, POLLIN, 0 });
            for (auto& each : on.connections) {
                const bool isFrozen = each.isFrozen;
                polled.push_back({ isFrozen || !each.forward.canRead() ? -1 : each.caller, POLLIN, 0 });
                polled.push_back({ isFrozen || !each.backward.canRead() ? -1 : each.target, POLLIN, 0 });
            }
        }
        poll(polled.data(), polled.size(), 0);
        std::size_t at = 0;
        for (auto& on : links) {
            const bool hasCaller = polled[at++].revents != 0;
            for (auto& each : on.connections) {
                const short callerEvents = polled[at++].revents;
                const short targetEvents = polled[at++].revents;
                if (!each.isFrozen)
                    pump(on, each, callerEvents, targetEvents);
            }
            closeBroken(on);
            if (hasCaller && on.listener >= 0)
                acceptAll(on);
        }
    }

    void waitForActivity()
    {
        std::vector<pollfd> polled;
        {
            const std::lock_guard lock(mutex);
            for (auto& on : links) {
                polled.push_back({ on.listener, POLLIN, 0 });
                for (auto& each : on.connections) {
                    if (each.isFrozen)
                        continue;
                    polled.push_back({ each.forward.canRead() ? each.caller : -1, POLLIN, 0 });
                    polled.push_back({ each.backward.canRead() ? each.target : -1, POLLIN, 0 });
                }
            }
        }
        poll(polled.data(), polled.size(), pollMs);
    }

    void run()
    {
        while (!isStopping) {
            waitForActivity();
            runOnce();
        }
    }
};

fault_proxy::fault_proxy()
    : m_state(std::make_unique<state>())
{
    m_state->thread = std::thread([this] { m_state->run(); });
}

fault_proxy::~fault_proxy()
{
    m_state->isStopping = true;
    m_state->thread.join();
    for (auto& on : m_state->links) {
        on.fault.isDisconnected = true;
        state::closeBroken(on);
        if (on.listener >= 0)
            close(on.listener);
    }
}

endpoint fault_proxy::addLink(const std::string& name, const endpoint& target)
{
    const endpoint where = freeLoopbackEndpoint();
    link added;
    added.name = name;
    added.target = target;
    added.where = where;
    added.listener = listenAt(where);
    if (added.listener < 0)
        throw std::runtime_error("the proxy cannot listen on " + toString(where));
    const std::lock_guard lock(m_state->mutex);
    m_state->links.push_back(std::move(added));
    return where;
}

void fault_proxy::setFault(const std::function<bool(const std::string& name)>& matches, const link_fault& fault)
{
    const std::lock_guard lock(m_state->mutex);
    for (auto& on : m_state->links) {
        if (!matches(on.name))
            continue;
        on.fault = fault;
        if (!fault.isFreezingOpenConnections)
            continue;
        for (auto& each : on.connections)
            each.isFrozen = true;
    }
}

void fault_proxy::setFault(const std::string& name, const link_fault& fault)
{
    setFault([&name](const std::string& candidate) { return candidate == name; }, fault);
}

void fault_proxy::heal()
{
    setFault([](const std::string&) { return true; }, link_fault {});
}

} // namespace flamingoroute::testing
