#include "snipevalve/net/tcp_user_timeout.hpp"

#include <netinet/tcp.h>

namespace snipevalve {

void setTcpUserTimeout(Tcp::socket &socket, Milliseconds timeout)
{
    const auto value = static_cast<unsigned>(timeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

} // namespace snipevalve
