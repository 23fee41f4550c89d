#ifndef SNIPEVALVE_NET_TCP_USER_TIMEOUT_HPP
#define SNIPEVALVE_NET_TCP_USER_TIMEOUT_HPP

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Sets how long sent data may stay unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT,
/// RFC 5482).
void setTcpUserTimeout(Tcp::socket &socket, Milliseconds timeout);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_TCP_USER_TIMEOUT_HPP
