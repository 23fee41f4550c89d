#include "snipevalve/node/gateway_request.hpp"

#include <algorithm>
#include <charconv>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/net/message_head.hpp"

namespace snipevalve {

namespace {

std::string_view toStringView(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Parses an unsigned decimal number; empty when the text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = !text.empty() && result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

/// The Host header's value without the port.
std::string_view hostName(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

const std::string &drawService(const GatewayRoute &route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const WeightedService &share : route.services) {
        total += share.weight;
    }
    std::uint64_t remaining = total == 0 ? 0 : draw % total;
    for (const WeightedService &share : route.services) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return route.services.front().service;
}

std::optional<GatewayFault> resolveTimes(GatewayRequest &request, std::string_view deadline)
{
    const auto limit = parseNumber(deadline);
    if (!deadline.empty() && !limit) {
        return GatewayFault{http::status::bad_request, "the deadline is no number of ms"};
    }
    const GatewayRoute &route = *request.route;
    constexpr std::uint64_t MaxMs = 3'600'000; ///< an hour; no caller waits longer
    const Milliseconds wanted(std::min(limit.value_or(route.timeout.count()), MaxMs));
    request.callerTimeout = wanted;
    request.deadline = request.arrivedAt + std::min(wanted, route.timeout);
    request.targetBy = std::min(request.deadline, request.arrivedAt + route.targetLatency);
    return std::nullopt;
}

} // namespace

std::optional<GatewayFault> resolveRequest(GatewayRequest &request, const HeaderNames &names, std::uint64_t draw)
{
    const auto &header = request.header;
    const std::string_view target = toStringView(header.target());
    const auto path = normalizePath(target.substr(0, target.find('?')));
    const std::string_view id = toStringView(header[names.requestId]);
    request.id = std::string(id);
    if (id.empty()) {
        return GatewayFault{http::status::bad_request, "the request has no id"};
    }
    if (!path) {
        return GatewayFault{http::status::bad_request, "the path leaves its root"};
    }
    request.route = request.config->routeFor(hostName(toStringView(header[http::field::host])), *path);
    if (request.route == nullptr) {
        return GatewayFault{http::status::not_found, "no route fits this host and path"};
    }
    if (request.route->services.empty()) {
        return GatewayFault{http::status::service_unavailable, "the route's services can't be read"};
    }
    request.service = drawService(*request.route, draw);
    const GatewayService *service = request.config->service(request.service);
    request.keyed = service != nullptr && service->keyed;
    if (request.keyed) {
        const auto key = parseNumber(toStringView(header[names.key]));
        if (!key || *key >= KeyCount) {
            return GatewayFault{http::status::bad_request, "the request names no key"};
        }
        request.key = static_cast<std::uint16_t>(*key);
    }
    return resolveTimes(request, toStringView(header[names.deadline]));
}

} // namespace snipevalve
