#include "flamingoroute/peers/peer_bus.hpp"

#include "flamingoroute/peers/envelope_codec.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace flamingoroute {

namespace {

constexpr int sendBufferMessages = 256;
constexpr int receiveBufferMessages = 1024;
constexpr nng_duration reconnectMinMs = 50;
constexpr nng_duration reconnectMaxMs = 500;
constexpr nng_duration receiveTimeoutMs = 200;

std::string urlOf(const endpoint& where) { return "tcp://" + toString(where); }

} // namespace

struct peer_bus::state {
    instance_id localInstance;
    process_role role = process_role::entry;
    incarnation localIncarnation = 0;
    std::atomic<std::uint64_t> sequence { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::atomic<bool> isStopping { false };
    nng_socket receiver = NNG_SOCKET_INITIALIZER;
    bool isListening = false;
    std::thread receiveThread;
    std::mutex sendersMutex;
    std::map<endpoint, nng_socket> senders;

    bool openSender(const endpoint& to, nng_socket& socket)
    {
        const std::lock_guard lock(sendersMutex);
        const auto known = senders.find(to);
        if (known != senders.end()) {
            socket = known->second;
            return true;
        }
        if (nng_push0_open(&socket) != 0)
            return false;
        nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendBufferMessages);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnectMinMs);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnectMaxMs);
        if (nng_dial(socket, urlOf(to).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
            nng_close(socket);
            return false;
        }
        senders.emplace(to, socket);
        return true;
    }

    void receiveLoop(const message_handler& handler)
    {
        while (!isStopping) {
            void* data = nullptr;
            std::size_t size = 0;
            const int result = nng_recv(receiver, &data, &size, NNG_FLAG_ALLOC);
            if (result == NNG_ECLOSED)
                return;
            if (result != 0)
                continue;
            const std::string bytes(static_cast<const char*>(data), size);
            nng_free(data, size);
            const auto message = decodeEnvelope(bytes);
            if (message)
                handler(*message);
        }
    }
};

peer_bus::peer_bus(instance_id localInstance, process_role role, incarnation localIncarnation)
    : m_state(std::make_unique<state>())
{
    m_state->localInstance = std::move(localInstance);
    m_state->role = role;
    m_state->localIncarnation = localIncarnation;
}

peer_bus::~peer_bus() { stop(); }

tl::expected<void, error> peer_bus::listen(const endpoint& where, message_handler handler)
{
    int result = nng_pull0_open(&m_state->receiver);
    if (result == 0) {
        m_state->isListening = true;
        nng_socket_set_int(m_state->receiver, NNG_OPT_RECVBUF, receiveBufferMessages);
        nng_socket_set_ms(m_state->receiver, NNG_OPT_RECVTIMEO, receiveTimeoutMs);
        result = nng_listen(m_state->receiver, urlOf(where).c_str(), nullptr, 0);
    }
    if (result != 0) {
        if (std::exchange(m_state->isListening, false))
            nng_close(m_state->receiver);
        const auto code = result == NNG_EADDRINUSE ? error_code::conflict : error_code::unavailable;
        return tl::unexpected(error { code, "peers.listen", toString(where), nng_strerror(result) });
    }
    m_state->receiveThread = std::thread([this, handler = std::move(handler)] { m_state->receiveLoop(handler); });
    return {};
}

bool peer_bus::send(const endpoint& to, message_kind kind, std::string body)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (m_state->isStopping || !m_state->openSender(to, socket))
        return false;
    envelope message;
    message.from = m_state->localInstance;
    message.role = m_state->role;
    message.fromIncarnation = m_state->localIncarnation;
    message.sequence = ++m_state->sequence;
    message.kind = kind;
    message.body = std::move(body);
    std::string bytes = encodeEnvelope(message);
    const int result = nng_send(socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
    if (result == 0)
        return true;
    ++m_state->dropped;
    return false;
}

std::uint64_t peer_bus::droppedCount() const { return m_state->dropped; }

void peer_bus::stop()
{
    if (m_state->isStopping.exchange(true))
        return;
    if (m_state->isListening)
        nng_close(m_state->receiver);
    if (m_state->receiveThread.joinable())
        m_state->receiveThread.join();
    const std::lock_guard lock(m_state->sendersMutex);
    for (const auto& [address, socket] : m_state->senders)
        nng_close(socket);
    m_state->senders.clear();
}

} // namespace flamingoroute
