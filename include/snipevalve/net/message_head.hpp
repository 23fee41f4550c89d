#ifndef SNIPEVALVE_NET_MESSAGE_HEAD_HPP
#define SNIPEVALVE_NET_MESSAGE_HEAD_HPP

#include <optional>
#include <string>
#include <string_view>

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Finds the end of a message's head (start line and header fields).
/// @return the offset just after the empty line, or empty when `text` does not contain a complete head yet
std::optional<std::size_t> findHeadEnd(std::string_view text);

/// @brief Checks a request head for errors that the HTTP parser accepts although RFC 9112 requires a server to reject
/// them.
///
/// There must be exactly one Host header (section 3.2), no folded line (5.2), no space before a colon (5.1), no bare CR
/// or NUL (2.2), and at most one Content-Length or Transfer-Encoding header, not both (6.3).
/// @param head the request line and all header lines, up to the empty line
/// @return a description of the first error, or empty when the head is valid
std::optional<std::string> findHeadFault(std::string_view head);

/// @brief Reads from the stream until the buffer holds a complete head. The timeout set on the stream applies.
/// @param limit the maximum size of a head in bytes; a longer one sets `error` to http::error::header_limit
Awaitable<void> readUntilHeadEnd(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::size_t limit,
                                 ErrorCode &error);

/// @brief Whether a read failed because the peer sent a malformed message, and not because it closed the connection.
bool isParseError(const ErrorCode &error);

/// @brief Whether a status code is one of RFC 9110, section 15: from 100 to 599. A message with another is no response.
bool isValidStatus(unsigned status);

/// @brief Whether a header applies to a single connection only and must not be forwarded (RFC 9110, section 7.6.1).
bool isHopByHop(http::field field);

/// @brief Decodes percent-encoded unreserved characters and removes dot segments (RFC 3986, section 6.2.2), so that
/// equivalent paths map to the same key. Only for comparing paths: the path is forwarded as it was received.
/// @return the normalized path, or empty when its dot segments lead above the root
std::optional<std::string> normalizePath(std::string_view path);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_MESSAGE_HEAD_HPP
