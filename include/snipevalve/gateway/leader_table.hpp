#ifndef SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP
#define SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP

#include <cstdint>
#include <map>
#include <string>

#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief The host that leads a service.
struct ServiceLeaderEntry
{
    Endpoint endpoint;
    std::uint64_t revision = 0; ///< of its entry in the store

    bool operator==(const ServiceLeaderEntry &) const = default;
};

/// @brief The leaders of all services, as of a revision of the store.
struct LeaderTable
{
    std::uint64_t revision = 0;
    std::map<std::string, ServiceLeaderEntry> leaders; ///< by service
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP
