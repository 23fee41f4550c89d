#ifndef SNIPEVALVE_NET_HTTP_SERVER_HPP
#define SNIPEVALVE_NET_HTTP_SERVER_HPP

#include <functional>
#include <map>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"
#include "snipevalve/net/message_parser.hpp"

namespace snipevalve {

using HttpRequest = http::request<ReceivedBody>;
using HttpResponse = http::response<http::string_body>;

/// @brief Limits of a control server. A request that exceeds them gets no response, and its connection is closed. If
/// there are too many connections, those that have waited longest for their peer are closed.
struct HttpServerLimits
{
    std::uint32_t headerBytes = 16 << 10;
    std::uint64_t bodyBytes = 2 << 20;
    Milliseconds idleTimeout{60'000};
    std::size_t maxConnections = 64;
};

/// @brief Handles one request. A result with `http::status::unknown` closes the connection without a response.
using HttpHandler = std::function<Awaitable<HttpResponse>(const HttpRequest &)>;

/// @brief Serves administration and control requests until the acceptor is closed. Each request is buffered in memory
/// as a whole.
Awaitable<void> serveHttp(Tcp::acceptor &acceptor, HttpHandler handler, HttpServerLimits limits = {});

/// @brief Creates a response with a JSON body.
HttpResponse jsonResponse(http::status status, std::string body);

/// @brief The path and the decoded query parameters of a request target.
class RequestTarget
{
public:
    explicit RequestTarget(std::string_view target);

    const std::string &path() const;

    /// @return the parameter's value, or `fallback` when it is absent
    std::string parameter(const std::string &name, const std::string &fallback = {}) const;

    /// @return the parameter as a number, or `fallback` when it is absent or not a number
    std::uint64_t number(const std::string &name, std::uint64_t fallback) const;

private:
    std::string m_path;
    std::map<std::string, std::string> m_parameters;
};

/// @brief Percent-encodes a text for use as a query parameter (RFC 3986, section 2.1).
std::string encodeParameter(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_HTTP_SERVER_HPP
