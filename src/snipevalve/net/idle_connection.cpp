#include "snipevalve/net/idle_connection.hpp"

namespace snipevalve {

bool isStaleConnection(Tcp::socket &socket)
{
    char byte = 0;
    ErrorCode error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace snipevalve
