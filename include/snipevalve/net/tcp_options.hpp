#ifndef SNIPEVALVE_NET_TCP_OPTIONS_HPP
#define SNIPEVALVE_NET_TCP_OPTIONS_HPP

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Sets how long sent data may stay unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT,
/// RFC 5482).
void setTcpUserTimeout(Tcp::socket &socket, Milliseconds timeout);

/// @brief Makes closing the socket reset the connection (SO_LINGER with a time of zero), also when the process ends.
///
/// After an ordinary close the kernel still sends what was written before, again and again while the peer can't be
/// reached, so a call that its caller has given up would arrive later.
void resetOnClose(Tcp::socket &socket);

/// @brief Makes closing the socket send what was written before, as it is by default; undoes resetOnClose().
void sendRestOnClose(Tcp::socket &socket);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_TCP_OPTIONS_HPP
