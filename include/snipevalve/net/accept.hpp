#ifndef SNIPEVALVE_NET_ACCEPT_HPP
#define SNIPEVALVE_NET_ACCEPT_HPP

#include <functional>

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Accepts connections until the acceptor is closed.
///
/// Pauses after a failure: without a free descriptor, the next attempt would fail at once, and the loop would take all
/// of the processor.
/// @param onConnection called with each accepted connection
/// @param mayAccept asked before each; while it says no, connections wait in the backlog. Any are accepted if empty.
Awaitable<void> acceptConnections(Tcp::acceptor &acceptor, std::function<void(Tcp::socket)> onConnection,
                                  std::function<bool()> mayAccept = {});

/// @brief Accepts the connections that wait in the backlog, then closes the acceptor, which would reset them.
/// @param onConnection called with each accepted connection
void closeAfterBacklog(Tcp::acceptor &acceptor, const std::function<void(Tcp::socket)> &onConnection);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_ACCEPT_HPP
