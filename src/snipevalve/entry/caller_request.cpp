#include "snipevalve/entry/caller_request.hpp"

#include <algorithm>
#include <charconv>

#include "snipevalve/net/message_head.hpp"

namespace snipevalve {

namespace {

std::string keyFromPath(std::string_view path, const Route &route)
{
    const std::string_view rest = path.substr(route.pathPrefix.size());
    return std::string(rest.substr(0, rest.find('/')));
}

bool isIdempotent(http::verb method, const Route &route)
{
    switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::put:
    case http::verb::delete_:
        return true;
    case http::verb::post:
        return route.postIsIdempotent;
    default:
        return false;
    }
}

/// Parses the caller's time limit; returns `fallback` without a header, and nothing when the header is not a number of
/// milliseconds from 1 to MaxMs.
std::optional<Milliseconds> parseTimeLimit(beast::string_view text, Milliseconds fallback)
{
    if (text.empty()) {
        return fallback;
    }
    constexpr std::int64_t MaxMs = 3'600'000;
    std::int64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!isNumber || number <= 0 || number > MaxMs) {
        return std::nullopt;
    }
    return Milliseconds(number);
}

} // namespace

std::optional<RequestRejection> resolveRequest(CallerRequest &request)
{
    const auto &header = *request.header;
    const beast::string_view target = header.target();
    const std::string_view path = std::string_view(target.data(), target.size());
    // Equivalent paths (RFC 3986, section 6.2.2) must yield the same key, so routing uses the normalized path. The
    // request target is forwarded as the caller sent it.
    const auto normalizedPath = normalizePath(path.substr(0, path.find('?')));
    if (!normalizedPath) {
        return RequestRejection{http::status::bad_request, "the path leaves its root"};
    }
    const std::string_view pathWithoutQuery = *normalizedPath;
    request.route = request.routing->routeFor(pathWithoutQuery);
    if (request.route == nullptr) {
        return RequestRejection{http::status::not_found, "no route fits this path"};
    }
    request.service = request.routing->service(request.route->service);
    if (request.service == nullptr) {
        return RequestRejection{http::status::service_unavailable, "the route's service is unknown"};
    }
    if (request.service->service.mode == ServiceMode::Keyed) {
        const Route &route = *request.route;
        request.key =
            route.keyHeader.empty() ? keyFromPath(pathWithoutQuery, route) : std::string(header[route.keyHeader]);
        if (request.key.empty()) {
            return RequestRejection{http::status::bad_request, "the request names no key"};
        }
    }
    const auto limit = parseTimeLimit(header[headers::DeadlineMs], request.route->deadline);
    if (!limit) {
        return RequestRejection{http::status::bad_request, "snipevalve-deadline-ms must be from 1 to 3600000"};
    }
    request.deadline = request.arrivedAt + *limit;
    request.idempotent = isIdempotent(header.method(), *request.route);
    if (request.contentLength && *request.contentLength > request.route->maxBodyBytes) {
        return RequestRejection{http::status::payload_too_large, "the body is longer than the route allows"};
    }
    return std::nullopt;
}

bool isForwardedHeader(http::field field, beast::string_view name)
{
    return !isHopByHop(field) && !name.starts_with("snipevalve-");
}

} // namespace snipevalve
