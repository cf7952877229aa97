#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_CONNECTION_POOL_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_CONNECTION_POOL_HPP

#include "flamingoroute/model/listed_upstream.hpp"
#include "flamingoroute/proxy/client_connection.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute {

/// Connections to upstreams, kept between requests.
class upstream_connection_pool {
public:
    /// @param idHeader header that an answer must repeat from its request
    upstream_connection_pool(boost::asio::io_context& loop, std::string idHeader);

    /// @param maxIdleTime a kept connection that has been idle for longer is not taken
    /// @return a connection that carries no request
    std::shared_ptr<client_connection> acquire(const listed_upstream& upstream, milliseconds maxIdleTime);

    /// Keeps a connection for the next request, if it can carry one.
    void release(const listed_upstream& upstream, std::shared_ptr<client_connection> connection);

    /// Drops the connections to an upstream that were opened before its path or process failed.
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
    std::map<upstream_id, idle_list> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace flamingoroute

#endif
