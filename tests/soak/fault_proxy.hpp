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

/// @brief What happens to the bytes on one proxied way.
enum class LinkFault {
    None,
    Delay, ///< each piece of bytes comes 300 ms late
    Reset, ///< open connections are reset at once, new ones as they come
    CutThere, ///< nothing reaches the far side, its bytes still come back
    CutBack, ///< nothing comes back
    Silent, ///< nothing passes, and nobody is told; open connections stay silent after the fault
};

/// @brief A TCP relay on loopback that spoils connections from outside the programs that use them.
///
/// Everything runs on one shared context; the faults may be set from any thread.
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, Endpoint listen, Endpoint target);

    void setFault(LinkFault fault);
    const Endpoint &endpoint() const;

private:
    struct Pair;

    Awaitable<void> accept();
    Awaitable<void> serve(std::shared_ptr<Pair> pair);
    Awaitable<void> pump(std::shared_ptr<Pair> pair, bool isThere);
    bool isHeld(bool isThere) const;

    asio::io_context &m_context;
    Endpoint m_listen;
    Endpoint m_target;
    Tcp::acceptor m_acceptor;
    LinkFault m_fault = LinkFault::None;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_FAULT_PROXY_HPP
