#ifndef SNIPEVALVE_NODE_GATEWAY_REQUEST_HPP
#define SNIPEVALVE_NODE_GATEWAY_REQUEST_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/gateway_config.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/node/header_names.hpp"

namespace snipevalve {

/// @brief A caller's request with the route that it takes.
struct GatewayRequest
{
    http::request_header<> header;
    std::string body;
    std::string id;
    std::shared_ptr<const GatewayConfig> config; ///< keeps `route` alive
    const GatewayRoute *route = nullptr;
    std::string service; ///< the one of the route's services that was drawn for this request
    bool keyed = false;
    std::optional<std::uint16_t> key;
    TimePoint arrivedAt;
    Milliseconds callerTimeout{0}; ///< how long the caller will wait for this attempt
    TimePoint targetBy; ///< an answer by then is worth most
    TimePoint deadline; ///< the caller has its final answer by then
    bool isCallerGone = false; ///< the caller has closed its connection

    bool isIdempotent() const
    {
        return snipevalve::isIdempotent(route->kind);
    }
};

/// @brief Why a request is refused before any server is asked.
struct GatewayFault
{
    http::status status = http::status::bad_request;
    std::string reason;
};

/// @brief Finds route, service, key and times of a request whose header has been read.
/// @param draw a number that chooses among weighted services
std::optional<GatewayFault> resolveRequest(GatewayRequest &request, const HeaderNames &names, std::uint64_t draw);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_GATEWAY_REQUEST_HPP
