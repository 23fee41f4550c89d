#include "snipevalve/net/tcp_options.hpp"

#include <netinet/tcp.h>

namespace snipevalve {

void setTcpUserTimeout(Tcp::socket &socket, Milliseconds timeout)
{
    const auto value = static_cast<unsigned>(timeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

void resetOnClose(Tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void sendRestOnClose(Tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(false, 0), ignored);
}

} // namespace snipevalve
