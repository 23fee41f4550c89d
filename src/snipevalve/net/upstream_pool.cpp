#include "snipevalve/net/upstream_pool.hpp"

#include <algorithm>

#include "snipevalve/net/idle_connection.hpp"
#include "snipevalve/net/tcp_options.hpp"

namespace snipevalve {

UpstreamPool::UpstreamPool(asio::any_io_executor executor, std::string sourceAddress, std::size_t idleLimit)
    : m_executor(std::move(executor))
    , m_sourceAddress(std::move(sourceAddress))
    , m_idleLimit(idleLimit)
{
}

std::unique_ptr<UpstreamConnection> UpstreamPool::takeIdle(const Endpoint &endpoint, Duration maxIdleTime,
                                                           TimePoint now, const std::vector<std::uint64_t> &excluded)
{
    auto &idle = m_idle[endpoint];
    for (auto position = idle.end(); position != idle.begin();) {
        --position;
        if (now - (*position)->lastResponseAt > maxIdleTime) {
            // The connections before it have been idle even longer.
            idle.erase(idle.begin(), std::next(position));
            return nullptr;
        }
        if (std::find(excluded.begin(), excluded.end(), (*position)->number) != excluded.end()) {
            continue;
        }
        std::unique_ptr<UpstreamConnection> connection = std::move(*position);
        position = idle.erase(position);
        if (connection->buffer.size() == 0 && !isStaleConnection(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

Awaitable<std::unique_ptr<UpstreamConnection>> UpstreamPool::connect(Endpoint endpoint, Milliseconds timeout)
{
    constexpr Milliseconds TcpUserTimeout(5000);
    if (!makeEndpoint(endpoint.address, endpoint.port)) {
        co_return nullptr; // an address that another host has sent
    }
    ErrorCode error;
    auto connection = std::make_unique<UpstreamConnection>(m_executor);
    connection->number = ++m_lastNumber;
    beast::tcp_stream &stream = connection->stream;
    stream.expires_after(timeout);
    stream.socket().open(Tcp::v4(), error);
    stream.socket().bind(Tcp::endpoint(asio::ip::make_address_v4(m_sourceAddress), 0), error);
    co_await stream.async_connect(toTcp(endpoint), awaitInto(error));
    if (error) {
        co_return nullptr;
    }
    stream.socket().set_option(Tcp::no_delay(true), error);
    stream.socket().non_blocking(true, error);
    setTcpUserTimeout(stream.socket(), TcpUserTimeout);
    resetOnClose(stream.socket());
    co_return connection;
}

void UpstreamPool::putBack(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection, TimePoint now)
{
    auto &idle = m_idle[endpoint];
    connection->lastResponseAt = now;
    if (idle.size() < m_idleLimit) {
        idle.push_back(std::move(connection));
    }
}

} // namespace snipevalve
