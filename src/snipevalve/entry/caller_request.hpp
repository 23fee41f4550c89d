#ifndef SNIPEVALVE_ENTRY_CALLER_REQUEST_HPP
#define SNIPEVALVE_ENTRY_CALLER_REQUEST_HPP

#include <optional>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/entry/routing_state.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Names of the headers between callers, entry and servers; docs/CALLERS.md describes them.
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

using RequestParser = http::request_parser<http::buffer_body>;

/// @brief A caller's request after its header has been read.
struct CallerRequest
{
    const http::request_header<> *header = nullptr;
    std::string id;
    std::shared_ptr<const RoutingState> routing; ///< keeps `route` and `service` alive
    const Route *route = nullptr;
    const ServiceRouting *service = nullptr;
    std::string key; ///< empty for a pool
    TimePoint arrivedAt;
    TimePoint deadline;
    bool idempotent = false;
    std::string body; ///< the whole body, or its first part
    bool bodyComplete = true;
    std::optional<std::uint64_t> contentLength;
};

/// @brief Why a request is refused before any server is asked.
struct RequestRejection
{
    http::status status = http::status::bad_request;
    std::string reason;
};

/// @brief Fills in route, service, key, deadline and whether the request is idempotent (RFC 9110, section 9.2.2).
/// @return a fault when the request can't be served
std::optional<RequestRejection> resolveRequest(CallerRequest &request);

/// @brief Whether a header goes on to the other side: it is not for one connection only and none of our own.
bool isForwardedHeader(http::field field, beast::string_view name);

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_CALLER_REQUEST_HPP
