#include "soak/fault_proxy.hpp"

#include <array>

namespace snipevalve::soak {

namespace {

constexpr std::size_t PieceBytes = 16 << 10;
constexpr Milliseconds DelayTime(300);
constexpr Milliseconds HoldPoll(20); ///< how often held bytes look whether the fault is over

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

/// The two ends of one relayed connection.
struct FaultProxy::Pair
{
    explicit Pair(Tcp::socket caller)
        : near(std::move(caller))
        , far(near.get_executor())
    {
    }

    Tcp::socket near;
    Tcp::socket far;
    bool isDead = false; ///< was silenced once: nothing passes any more, and neither end is told
    int pumps = 0;
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

void FaultProxy::setFault(LinkFault fault)
{
    asio::post(m_context, [this, fault]() {
        m_fault = fault;
        for (const std::shared_ptr<Pair> &pair : m_pairs) {
            pair->isDead = pair->isDead || fault == LinkFault::Silent;
            if (fault == LinkFault::Reset) {
                resetSocket(pair->near);
                resetSocket(pair->far);
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
        if (m_fault == LinkFault::Reset) {
            resetSocket(socket);
            continue;
        }
        asio::co_spawn(m_context, serve(std::make_shared<Pair>(std::move(socket))), asio::detached);
    }
}

Awaitable<void> FaultProxy::serve(std::shared_ptr<Pair> pair)
{
    pair->isDead = m_fault == LinkFault::Silent;
    ErrorCode error;
    co_await pair->far.async_connect(toTcp(m_target), awaitInto(error));
    if (error) {
        resetSocket(pair->near);
        co_return;
    }
    m_pairs.insert(pair);
    pair->pumps = 2;
    asio::co_spawn(m_context, pump(pair, true), asio::detached);
    co_await pump(pair, false);
}

bool FaultProxy::isHeld(bool isThere) const
{
    return (isThere && m_fault == LinkFault::CutThere) || (!isThere && m_fault == LinkFault::CutBack);
}

Awaitable<void> FaultProxy::pump(std::shared_ptr<Pair> pair, bool isThere)
{
    Tcp::socket &from = isThere ? pair->near : pair->far;
    Tcp::socket &to = isThere ? pair->far : pair->near;
    std::array<char, PieceBytes> bytes{};
    ErrorCode error;
    while (!error) {
        const std::size_t count = co_await from.async_read_some(asio::buffer(bytes), awaitInto(error));
        if (error) {
            break;
        }
        if (m_fault == LinkFault::Delay) {
            co_await sleepFor(DelayTime);
        }
        while (isHeld(isThere) && !pair->isDead) {
            co_await sleepFor(HoldPoll);
        }
        if (!pair->isDead) {
            co_await asio::async_write(to, asio::buffer(bytes.data(), count), awaitInto(error));
        }
    }
    ErrorCode ignored;
    if (pair->isDead) {
        from.close(ignored);
    } else if (error == asio::error::eof) {
        to.shutdown(Tcp::socket::shutdown_send, ignored);
    } else {
        resetSocket(pair->near);
        resetSocket(pair->far);
    }
    if (--pair->pumps == 0) {
        m_pairs.erase(pair);
    }
}

} // namespace snipevalve::soak
