#ifndef SNIPEVALVE_NET_IDLE_CONNECTION_HPP
#define SNIPEVALVE_NET_IDLE_CONNECTION_HPP

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Whether an idle connection is of no more use: the peer has closed it or sent bytes that nobody asked for.
///
/// Puts the socket into non-blocking mode.
bool isStaleConnection(Tcp::socket &socket);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_IDLE_CONNECTION_HPP
