#ifndef SNIPEVALVE_NET_UPSTREAM_POOL_HPP
#define SNIPEVALVE_NET_UPSTREAM_POOL_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief A connection to a server with the bytes read ahead on it.
struct UpstreamConnection
{
    explicit UpstreamConnection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    TimePoint lastResponseAt; ///< end of the last whole answer
};

/// @brief The idle connections to servers of one traffic thread. Only connections whose last answer was whole come back
/// to it.
class UpstreamPool
{
public:
    /// @param idleLimit idle connections kept for one server
    UpstreamPool(asio::any_io_executor executor, std::string sourceAddress, std::size_t idleLimit);

    /// @brief An idle connection that answered within `provenWithin`; null when there is none.
    std::unique_ptr<UpstreamConnection> takeIdle(const Endpoint &endpoint, Duration provenWithin, TimePoint now);

    /// @return null when no connection could be opened in time
    Awaitable<std::unique_ptr<UpstreamConnection>> connect(Endpoint endpoint, Milliseconds timeout);

    /// @brief Takes back a connection after a whole answer.
    void putBack(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection, TimePoint now);

private:
    asio::any_io_executor m_executor;
    std::string m_sourceAddress;
    std::size_t m_idleLimit;
    std::map<Endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_UPSTREAM_POOL_HPP
