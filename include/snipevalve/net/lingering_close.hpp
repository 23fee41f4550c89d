#ifndef SNIPEVALVE_NET_LINGERING_CLOSE_HPP
#define SNIPEVALVE_NET_LINGERING_CLOSE_HPP

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Half-closes a connection after its last answer, then reads and discards until the caller has closed it, for a
/// second and 32 MB at most.
///
/// Closing a socket with unread bytes resets the connection, which discards an answer that the caller has not read yet
/// (RFC 9112, section 9.6).
Awaitable<void> closeLingering(beast::tcp_stream &stream);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_LINGERING_CLOSE_HPP
