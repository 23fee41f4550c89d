#ifndef SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP
#define SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP

#include <cstdint>
#include <map>
#include <set>
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

/// @brief The entries that name this host as leader of services that it does not lead.
///
/// Load pattern: all processes are killed and restart within their leases. The table then names leaders that have
/// forgotten their services, and no other host may lead these until the entries are removed.
/// @param table the leaders as of the newest known revision
/// @param self control address of this host
/// @param led services that this host leads or is taking over
/// @return by service: the entries to remove from the store
inline std::map<std::string, ServiceLeaderEntry> staleEntriesOf(const LeaderTable &table, const Endpoint &self,
                                                                const std::set<std::string> &led)
{
    std::map<std::string, ServiceLeaderEntry> stale;
    for (const auto &[service, leader] : table.leaders) {
        if (leader.endpoint == self && !led.contains(service)) {
            stale.emplace(service, leader);
        }
    }
    return stale;
}

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP
