#ifndef SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP
#define SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief The host that leads a service.
struct ServiceLeaderEntry
{
    Endpoint endpoint;
    /// Of its entry in the store; 0 for the leader of an earlier era, which has no entry in the present one yet.
    std::uint64_t revision = 0;

    bool operator==(const ServiceLeaderEntry &) const = default;
};

/// @brief The leaders of all services, as of a revision of the store.
struct LeaderTable
{
    std::uint64_t era = 0; ///< of the store; revisions of different eras can't be compared
    std::uint64_t revision = 0;
    std::map<std::string, ServiceLeaderEntry> leaders; ///< by service

    bool isNewerThan(const LeaderTable &other) const
    {
        return std::pair(era, revision) > std::pair(other.era, other.revision);
    }

    /// @brief Begins a new era of the store: its leaders are still to be found, and those of the earlier one serve
    /// until then.
    void beginEra(std::uint64_t newEra)
    {
        era = newEra;
        revision = 0;
        for (auto &[service, leader] : leaders) {
            leader.revision = 0;
        }
    }
};

/// @brief The key in the store that belongs to a service and an era.
///
/// A write of a host that does not yet know that a new era has begun can't change keys of the new era.
inline std::string eraKey(const std::string &prefix, std::uint64_t era, const std::string &service)
{
    return prefix + std::to_string(era) + "/" + service;
}

/// @brief The parts of a key of `eraKey`.
struct EraKey
{
    std::uint64_t era = 0;
    std::string service;
};

/// @return nothing if the key has no era after the prefix
inline std::optional<EraKey> parseEraKey(const std::string &prefix, const std::string &key)
{
    EraKey parsed;
    const char *begin = key.data() + std::min(prefix.size(), key.size());
    const char *end = key.data() + key.size();
    const auto [position, error] = std::from_chars(begin, end, parsed.era);
    if (error != std::errc() || position == end || *position != '/') {
        return std::nullopt;
    }
    parsed.service = std::string(position + 1, end);
    return parsed;
}

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
        if (leader.endpoint == self && leader.revision != 0 && !led.contains(service)) {
            stale.emplace(service, leader);
        }
    }
    return stale;
}

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_LEADER_TABLE_HPP
