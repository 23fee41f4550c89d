#ifndef SNIPEVALVE_GATEWAY_GATEWAY_CONFIG_HPP
#define SNIPEVALVE_GATEWAY_GATEWAY_CONFIG_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/findings.hpp"
#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief The kind of a route's requests; decides whether they may be retried.
enum class RequestKind {
    Safe, ///< idempotent: may run more than once
    Unsafe, ///< runs at most once for each attempt of the caller
    Upload, ///< a large body; runs at most once
    Download, ///< a large answer; may run more than once until the caller has seen some of it
};

/// @brief Whether a request of this kind may run more than once.
constexpr bool isIdempotent(RequestKind kind)
{
    return kind == RequestKind::Safe || kind == RequestKind::Download;
}

/// @brief One of the services that share a route's requests.
struct WeightedService
{
    std::string service;
    unsigned weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// @brief Identifies a route: a configuration has at most one route for a host and path prefix.
struct RoutePlace
{
    std::string host;
    std::string pathPrefix;
};

/// @brief Where requests of one host and path prefix go, and within which limits.
struct GatewayRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Unsafe;
    Milliseconds timeout{0}; ///< the caller gets a final answer within this time
    Milliseconds targetLatency{0}; ///< the latency to aim for; later answers are worth less
    int priority = 0; ///< 0 is the highest
    int maxAttempts = 1; ///< number of servers that one request may be sent to
    /// Empty when they could not be parsed; requests of the route are then refused.
    std::vector<WeightedService> services;

    bool operator==(const GatewayRoute &) const = default;
};

/// @brief A service: a group of interchangeable servers.
struct GatewayService
{
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< to one server, over all hosts
    bool keyed = false; ///< each key has one owning server
    Milliseconds warmTime{0}; ///< how long a key is slow on a new owner that got no handover
    Milliseconds warmupTime{0}; ///< how long a server is cold after its start
    double warmupPerSecond = 0; ///< requests per second that a cold server tolerates, from all hosts; 0: no limit
};

/// @brief Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 << 10;
    std::uint64_t maxBodyBytes = 64 << 20;
    Milliseconds headerTimeout{3'000};
    Milliseconds idleTimeout{15'000};
};

/// @brief One complete version of the operators' configuration.
class GatewayConfig
{
public:
    /// @return the route of this host with the longest prefix that begins the path; null when none fits
    const GatewayRoute *routeFor(std::string_view host, std::string_view path) const;

    const GatewayService *service(const std::string &name) const;

    /// @brief Adds a route, unless there is one for its host and prefix already.
    void addRoute(GatewayRoute route);

    void removeRoute(const RoutePlace &place);

    /// @return the route with exactly this host and prefix; null when there is none
    const GatewayRoute *routeAt(const RoutePlace &place) const;

    template <typename Visit>
    void forEachRoute(Visit visit) const
    {
        for (const auto &[host, routes] : m_routesByHost) {
            for (const auto &[prefix, route] : routes) {
                visit(*route);
            }
        }
    }

    std::uint64_t version = 0;
    CallerLimits limits;
    std::map<std::string, GatewayService> services;

private:
    /// Routes of one host by path prefix. Versions share unchanged routes.
    using HostRoutes = std::map<std::string, std::shared_ptr<const GatewayRoute>, std::less<>>;

    std::map<std::string, HostRoutes, std::less<>> m_routesByHost;
};

/// @brief A parsed configuration and the findings on parts that could not be parsed.
struct ParsedConfig
{
    std::shared_ptr<const GatewayConfig> config;
    Findings findings;
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_GATEWAY_CONFIG_HPP
