#ifndef SNIPEVALVE_NET_MESSAGE_HEAD_HPP
#define SNIPEVALVE_NET_MESSAGE_HEAD_HPP

#include <optional>
#include <string>
#include <string_view>

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief The end of a message's head in `text`: the offset behind the empty line; empty while it is not there yet.
std::optional<std::size_t> findHeadEnd(std::string_view text);

/// @brief Checks what the HTTP parser lets pass although RFC 9112 has a server refuse it.
///
/// One Host header exactly (section 3.2), no folded lines (5.2), no space before a colon (5.1), no bare CR or NUL
/// (2.2), not both a length and a transfer coding and no two lengths (6.3).
/// @param head the request line and all header lines, up to the empty line
/// @return what is wrong; empty when nothing is
std::optional<std::string> findHeadFault(std::string_view head);

/// @brief Reads from the stream until the buffer holds a whole head. The stream's own time limit applies.
/// @param limit bytes of a head at most; beyond it `error` is http::error::header_limit
Awaitable<void> readUntilHeadEnd(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::size_t limit,
                                 ErrorCode &error);

/// @brief Whether a read failed because the peer sent bytes that are no message, and not because it left.
bool isParseError(const ErrorCode &error);

/// @brief Whether a header is for one connection only and is not passed on (RFC 9110, section 7.6.1).
bool isHopByHop(http::field field);

/// @brief The path with percent-encoded unreserved characters decoded and dot segments removed (RFC 3986,
/// section 6.2.2), so that equal paths name the same key. Never used for what is passed on.
/// @return empty when the path leaves its root
std::optional<std::string> normalizePath(std::string_view path);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_MESSAGE_HEAD_HPP
