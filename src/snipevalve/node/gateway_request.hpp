#ifndef SNIPEVALVE_NODE_GATEWAY_REQUEST_HPP
#define SNIPEVALVE_NODE_GATEWAY_REQUEST_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/gateway_config.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/byte_blocks.hpp"
#include "snipevalve/node/header_names.hpp"

namespace snipevalve {

/// @brief A caller's request and what resolveRequest() derives from its header.
struct GatewayRequest
{
    http::request_header<> header;
    std::shared_ptr<const ByteBlocks> body = std::make_shared<const ByteBlocks>();
    std::string id;
    std::shared_ptr<const GatewayConfig> config; ///< keeps `route` alive
    const GatewayRoute *route = nullptr;
    std::string service; ///< chosen at random, by weight, among the route's services
    bool keyed = false; ///< whether the service is keyed
    std::optional<std::uint16_t> key; ///< for keyed services
    TimePoint arrivedAt; ///< when the header had been read
    Milliseconds callerTimeout{0}; ///< how long the caller will wait for this attempt
    TimePoint targetBy; ///< an answer by then has its full value
    TimePoint deadline; ///< the caller must have its final answer by then
    bool isCallerGone = false; ///< the caller has closed its connection

    bool isIdempotent() const
    {
        return snipevalve::isIdempotent(route->kind);
    }
};

/// @brief Why a request is refused before it is sent to any server.
struct GatewayFault
{
    http::status status = http::status::bad_request;
    std::string reason; ///< sent to the caller
};

/// @brief Resolves route, service, key and deadlines of a request whose header has been read.
/// @param request its header, configuration and time of arrival must be set
/// @param names the installation's header names
/// @param draw a random number that selects one of the route's weighted services
/// @return why the request must be refused; empty when it may be served
std::optional<GatewayFault> resolveRequest(GatewayRequest &request, const HeaderNames &names, std::uint64_t draw);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_GATEWAY_REQUEST_HPP
