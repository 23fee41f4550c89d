#ifndef SNIPEVALVE_NET_IDLE_CONNECTION_HPP
#define SNIPEVALVE_NET_IDLE_CONNECTION_HPP

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Whether an idle connection can't be reused: the peer has closed it or sent data without a request.
///
/// Switches the socket to non-blocking mode.
bool isStaleConnection(Tcp::socket &socket);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_IDLE_CONNECTION_HPP
