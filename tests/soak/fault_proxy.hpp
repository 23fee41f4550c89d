#ifndef SNIPEVALVE_SOAK_FAULT_PROXY_HPP
#define SNIPEVALVE_SOAK_FAULT_PROXY_HPP

#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve::soak {

/// @brief The fault that a proxy applies to its connections.
enum class ConnectionFault {
    None,
    Delay, ///< each chunk is delayed by 300 ms
    Reset, ///< open connections are reset at once, new ones when they are accepted
    BlockToTarget, ///< bytes to the target are held back, bytes from it pass
    BlockFromTarget, ///< bytes from the target are held back, bytes to it pass
    /// Bytes to the target are held back, also after the fault until TCP's next retransmission, and are lost if the
    /// sender resets the connection. New connections are blackholed.
    CutToTarget,
    CutFromTarget, ///< the same for bytes from the target
    Blackhole, ///< bytes are dropped without closing; connections open during the fault stay blackholed
};

/// @brief A TCP proxy on loopback that injects faults into connections from outside the programs that use them.
///
/// It connects to the target from the caller's address, so the target can tell its callers apart. All work runs on the
/// given context; setFault() may be called from any thread.
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, Endpoint listen, Endpoint target);

    void setFault(ConnectionFault fault);
    const Endpoint &endpoint() const;

private:
    struct RelayedConnection;

    Awaitable<void> accept();
    Awaitable<void> serve(std::shared_ptr<RelayedConnection> connection);
    Awaitable<void> relay(std::shared_ptr<RelayedConnection> connection, bool toTarget);
    bool isBlocked(bool toTarget) const;
    bool isCut(bool toTarget) const;
    Awaitable<bool> waitForRetransmission(Tcp::socket &sender, bool toTarget);

    asio::io_context &m_context;
    Endpoint m_listen;
    Endpoint m_target;
    Tcp::acceptor m_acceptor;
    ConnectionFault m_fault = ConnectionFault::None;
    std::set<std::shared_ptr<RelayedConnection>> m_connections;
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_FAULT_PROXY_HPP
