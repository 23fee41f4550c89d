#include "soak/fault_proxy.hpp"

#include <poll.h>

#include <array>

namespace snipevalve::soak {

namespace {

constexpr std::size_t ChunkBytes = 16 << 10;
constexpr Milliseconds DelayTime(300);
constexpr Milliseconds BlockPollInterval(20); ///< how often a blocked relay checks whether the fault has ended

Awaitable<void> sleepFor(Milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    ErrorCode ignored;
    co_await timer.async_wait(awaitInto(ignored));
}

void resetSocket(Tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/// The two sockets of one relayed connection.
struct FaultProxy::RelayedConnection
{
    explicit RelayedConnection(Tcp::socket caller)
        : client(std::move(caller))
        , target(client.get_executor())
    {
    }

    Tcp::socket client;
    Tcp::socket target;
    bool isBlackholed = false; ///< drops all further bytes without closing either end; stays set after the fault
    int activeRelays = 0;
};

FaultProxy::FaultProxy(asio::io_context &context, Endpoint listen, Endpoint target)
    : m_context(context)
    , m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_acceptor(listenOn(context.get_executor(), m_listen))
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

const Endpoint &FaultProxy::endpoint() const
{
    return m_listen;
}

void FaultProxy::setFault(ConnectionFault fault)
{
    asio::post(m_context, [this, fault]() {
        m_fault = fault;
        for (const std::shared_ptr<RelayedConnection> &connection : m_connections) {
            connection->isBlackholed = connection->isBlackholed || fault == ConnectionFault::Blackhole;
            if (fault == ConnectionFault::Reset) {
                resetSocket(connection->client);
                resetSocket(connection->target);
            }
        }
    });
}

Awaitable<void> FaultProxy::accept()
{
    while (true) {
        ErrorCode error;
        Tcp::socket socket = co_await m_acceptor.async_accept(awaitInto(error));
        if (error) {
            continue;
        }
        if (m_fault == ConnectionFault::Reset) {
            resetSocket(socket);
            continue;
        }
        asio::co_spawn(m_context, serve(std::make_shared<RelayedConnection>(std::move(socket))), asio::detached);
    }
}

Awaitable<void> FaultProxy::serve(std::shared_ptr<RelayedConnection> connection)
{
    connection->isBlackholed = m_fault == ConnectionFault::Blackhole || isCut(true) || isCut(false);
    ErrorCode error;
    connection->target.open(Tcp::v4(), error);
    connection->target.bind({connection->client.remote_endpoint(error).address(), 0}, error);
    co_await connection->target.async_connect(toTcp(m_target), awaitInto(error));
    if (error) {
        resetSocket(connection->client);
        co_return;
    }
    m_connections.insert(connection);
    connection->activeRelays = 2;
    asio::co_spawn(m_context, relay(connection, true), asio::detached);
    co_await relay(connection, false);
}

bool FaultProxy::isBlocked(bool toTarget) const
{
    return (toTarget && m_fault == ConnectionFault::BlockToTarget)
        || (!toTarget && m_fault == ConnectionFault::BlockFromTarget);
}

bool FaultProxy::isCut(bool toTarget) const
{
    return m_fault == (toTarget ? ConnectionFault::CutToTarget : ConnectionFault::CutFromTarget);
}

/// Waits as TCP does: bytes that were sent during a cut arrive with the first retransmission after it.
/// @return false when the sender has reset the connection, which discards what it has sent
Awaitable<bool> FaultProxy::waitForRetransmission(Tcp::socket &sender, bool toTarget)
{
    constexpr Milliseconds FirstTimeout(200);
    const bool wasCut = isCut(toTarget);
    for (Milliseconds timeout = FirstTimeout; isCut(toTarget); timeout *= 2) {
        co_await sleepFor(timeout);
    }
    if (!wasCut) {
        co_return true; // what was sent before a reset still arrives
    }
    pollfd state{sender.native_handle(), 0, 0};
    ::poll(&state, 1, 0);
    co_return (state.revents & POLLERR) == 0;
}

Awaitable<void> FaultProxy::relay(std::shared_ptr<RelayedConnection> connection, bool toTarget)
{
    Tcp::socket &from = toTarget ? connection->client : connection->target;
    Tcp::socket &to = toTarget ? connection->target : connection->client;
    std::array<char, ChunkBytes> bytes{};
    ErrorCode error;
    while (!error) {
        const std::size_t count = co_await from.async_read_some(asio::buffer(bytes), awaitInto(error));
        if (error) {
            break;
        }
        if (m_fault == ConnectionFault::Delay) {
            co_await sleepFor(DelayTime);
        }
        while (isBlocked(toTarget) && !connection->isBlackholed) {
            co_await sleepFor(BlockPollInterval);
        }
        if (!co_await waitForRetransmission(from, toTarget)) {
            error = asio::error::connection_reset;
        } else if (!connection->isBlackholed) {
            co_await asio::async_write(to, asio::buffer(bytes.data(), count), awaitInto(error));
        }
    }
    ErrorCode ignored;
    if (connection->isBlackholed) {
        from.close(ignored);
    } else if (error == asio::error::eof) {
        to.shutdown(Tcp::socket::shutdown_send, ignored);
    } else {
        resetSocket(connection->client);
        resetSocket(connection->target);
    }
    if (--connection->activeRelays == 0) {
        m_connections.erase(connection);
    }
}

} // namespace snipevalve::soak
