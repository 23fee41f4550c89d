#ifndef SNIPEVALVE_GATEWAY_UPSTREAM_SERVER_HPP
#define SNIPEVALVE_GATEWAY_UPSTREAM_SERVER_HPP

#include <compare>
#include <cstdint>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief A server as it registered itself with service discovery.
struct UpstreamServer
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    unsigned slots = 1; ///< requests that it runs concurrently
    bool draining = false; ///< it is shutting down and takes no new requests
    bool evacuated = false; ///< the operators have asked to send nothing to its zone
    Milliseconds warmupLeft{0}; ///< remaining time for which it is cold (slow, and limited in requests per second)
    std::int64_t incarnation = 0; ///< changes with each restart under one ID; larger is later

    bool operator==(const UpstreamServer &) const = default;
};

/// @brief One run of a server. A server that restarts under the same ID owns none of its previous keys.
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
