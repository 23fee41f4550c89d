#ifndef SNIPEVALVE_NET_UNACKNOWLEDGED_LIMIT_HPP
#define SNIPEVALVE_NET_UNACKNOWLEDGED_LIMIT_HPP

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Has the kernel give up a connection whose bytes nobody acknowledges (TCP_USER_TIMEOUT, RFC 5482).
void setTcpUserTimeout(Tcp::socket &socket, Milliseconds timeout);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_UNACKNOWLEDGED_LIMIT_HPP
