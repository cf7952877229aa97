#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_CONNECTION_POOL_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_CONNECTION_POOL_HPP

#include "flamingoroute/model/registered_upstream.hpp"
#include "flamingoroute/proxy/client_connection.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute {

/// Connections to upstreams, kept open between requests.
class upstream_connection_pool {
public:
    /// @param idHeader name of the header whose value an answer must repeat from its request
    /// @param maxAnswerBytes memory that the incomplete answers of all connections may use
    upstream_connection_pool(boost::asio::io_context& loop, std::string idHeader, std::size_t maxAnswerBytes);

    /// @param maxIdleTime a kept connection that has been idle for longer is not reused
    /// @return a connection that carries no request
    std::shared_ptr<client_connection> acquire(const registered_upstream& upstream, milliseconds maxIdleTime);

    /// Keeps a connection for the next request if it is reusable.
    void release(const registered_upstream& upstream, std::shared_ptr<client_connection> connection);

    /// Drops the idle connections to an upstream whose network path or process has failed.
    void dropIdle(const upstream_id& upstream);

    /// @return connections opened since the start
    std::uint64_t openedCount() const { return m_opened; }

private:
    struct idle_list {
        endpoint address;
        std::vector<std::shared_ptr<client_connection>> connections;
    };

    boost::asio::io_context& m_loop;
    std::string m_idHeader;
    std::shared_ptr<byte_budget> m_answerBytes;
    std::map<upstream_id, idle_list> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace flamingoroute

#endif
