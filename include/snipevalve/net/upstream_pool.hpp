#ifndef SNIPEVALVE_NET_UPSTREAM_POOL_HPP
#define SNIPEVALVE_NET_UPSTREAM_POOL_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"
#include "snipevalve/net/message_parser.hpp"

namespace snipevalve {

/// @brief A connection to a server, with the buffer of bytes that were received but not parsed yet.
struct UpstreamConnection
{
    explicit UpstreamConnection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    std::uint64_t number = 0; ///< unique within its pool; 0 for none
    beast::tcp_stream stream;
    beast::flat_buffer buffer{MaxUnparsedBytes};
    TimePoint lastResponseAt; ///< when the last complete response ended
};

/// @brief Pool of the idle connections of one traffic thread to servers. Only connections whose last response was
/// complete are returned to it.
class UpstreamPool
{
public:
    /// @param sourceAddress local address of outgoing connections
    /// @param idleLimit the maximum number of idle connections per server
    UpstreamPool(asio::any_io_executor executor, std::string sourceAddress, std::size_t idleLimit);

    /// @brief Takes the most recently used idle connection that is still usable.
    /// @param maxIdleTime the longest time since the end of its last response
    /// @param excluded numbers of connections that are not taken and stay in the pool
    /// @return null when there is no such connection
    std::unique_ptr<UpstreamConnection> takeIdle(const Endpoint &endpoint, Duration maxIdleTime, TimePoint now,
                                                 const std::vector<std::uint64_t> &excluded = {});

    /// @brief Opens a connection.
    /// @return null when no connection could be opened before the timeout
    Awaitable<std::unique_ptr<UpstreamConnection>> connect(Endpoint endpoint, Milliseconds timeout);

    /// @brief Returns a connection to the pool after a complete response. It is closed when the pool of the server is
    /// full.
    void putBack(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection, TimePoint now);

private:
    asio::any_io_executor m_executor;
    std::string m_sourceAddress;
    std::size_t m_idleLimit;
    std::uint64_t m_lastNumber = 0; ///< of a connection
    std::map<Endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_UPSTREAM_POOL_HPP
