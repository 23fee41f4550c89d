#ifndef SNIPEVALVE_GATEWAY_UPSTREAM_SERVER_HPP
#define SNIPEVALVE_GATEWAY_UPSTREAM_SERVER_HPP

#include <compare>
#include <cstdint>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief A server as it describes itself to service discovery.
struct UpstreamServer
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    unsigned slots = 1; ///< requests that it runs at once
    bool draining = false; ///< it is leaving and takes no new work
    Milliseconds warmupLeft{0}; ///< it is slow for this much longer
    std::int64_t incarnation = 0; ///< tells the lives of one id apart; larger is later

    bool operator==(const UpstreamServer &) const = default;
};

/// @brief One life of one server. A server that restarts under its id holds nothing of its earlier life.
struct ServerIncarnation
{
    std::string id;
    std::int64_t incarnation = 0;

    auto operator<=>(const ServerIncarnation &) const = default;
};

inline ServerIncarnation incarnationOf(const UpstreamServer &server)
{
    return {server.id, server.incarnation};
}

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_UPSTREAM_SERVER_HPP
