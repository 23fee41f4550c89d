#ifndef SNIPEVALVE_ENTRY_CALLER_REQUEST_HPP
#define SNIPEVALVE_ENTRY_CALLER_REQUEST_HPP

#include <optional>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/entry/routing_state.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/message_parser.hpp"

namespace snipevalve {

/// @brief Names of the headers exchanged between callers, the entry and servers; see docs/CALLERS.md.
namespace headers {
inline constexpr const char *Outcome = "snipevalve-outcome";
inline constexpr const char *Reason = "snipevalve-reason";
inline constexpr const char *Server = "snipevalve-server";
inline constexpr const char *DeadlineMs = "snipevalve-deadline-ms";
inline constexpr const char *RequestId = "x-request-id";
inline constexpr const char *Group = "snipevalve-group";
inline constexpr const char *Slot = "snipevalve-slot";
inline constexpr const char *Token = "snipevalve-token";
inline constexpr const char *Refused = "snipevalve-refused";
inline constexpr const char *Load = "snipevalve-load";
} // namespace headers

using RequestParser = MessageParser<true, http::buffer_body>;

/// @brief A caller's request whose header has been read.
struct CallerRequest
{
    const http::request_header<> *header = nullptr;
    std::string id;
    std::shared_ptr<const RoutingState> routing; ///< owns `route` and `service`
    const Route *route = nullptr;
    const ServiceRouting *service = nullptr;
    std::string key; ///< empty for a service in pool mode
    TimePoint arrivedAt;
    TimePoint deadline;
    bool idempotent = false;
    std::string body; ///< the complete body, or its buffered beginning
    bool bodyComplete = true;
    std::optional<std::uint64_t> contentLength;
};

/// @brief Why a request is rejected before any attempt at a server.
struct RequestRejection
{
    http::status status = http::status::bad_request;
    std::string reason;
};

/// @brief Sets the route, service, key, deadline and idempotence (RFC 9110, section 9.2.2) of the request.
/// @return the reason for rejecting the request, if it can't be served
std::optional<RequestRejection> resolveRequest(CallerRequest &request);

/// @brief True for end-to-end headers: neither hop-by-hop nor one of Snipevalve's own.
bool isForwardedHeader(http::field field, beast::string_view name);

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_CALLER_REQUEST_HPP
