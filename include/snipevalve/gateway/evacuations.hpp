#ifndef SNIPEVALVE_GATEWAY_EVACUATIONS_HPP
#define SNIPEVALVE_GATEWAY_EVACUATIONS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief The zones that the operators have asked to send nothing to, as of a revision of the store.
struct Evacuations
{
    /// Limits of what is kept and relayed; a deployment has a few zones.
    static constexpr std::size_t MaxZones = 256;
    static constexpr std::size_t MaxZoneLength = 256;

    std::uint64_t era = 0; ///< of the store; revisions of different eras can't be compared
    std::uint64_t revision = 0;
    std::set<std::string> zones;

    bool operator==(const Evacuations &) const = default;

    /// @brief Whether the store has been read, by this host or by another one that has passed on what it read.
    bool isKnown() const
    {
        return std::pair(era, revision) != std::pair<std::uint64_t, std::uint64_t>();
    }

    bool isNewerThan(const Evacuations &other) const
    {
        return std::pair(era, revision) > std::pair(other.era, other.revision);
    }
};

/// @brief Whether an evacuation that the operators have asked for has effect.
enum class EvacuationState {
    InForce,
    UnknownZone, ///< no server is in the zone
    LeavesNoServer, ///< ignored: together with the other ones, it would leave no server of any zone
    Ended, ///< the operators have taken the zone back
};

/// @brief The state's name in logs.
std::string_view describe(EvacuationState state);

/// @brief A change of an evacuation's state, for the log.
struct EvacuationReport
{
    std::string zone;
    EvacuationState state = EvacuationState::InForce;
    std::uint64_t revision = 0; ///< of the store

    bool operator==(const EvacuationReport &) const = default;
};

/// @brief The text of the log line about a report.
/// @param by `leader` or `host`: who applies the evacuation
std::string evacuationLogText(const EvacuationReport &report, std::string_view by);

/// @brief Decides which servers are evacuated. No I/O, threads or clock.
///
/// A request to evacuate every zone that has servers is ignored for as long as that is so.
class EvacuatedZones
{
public:
    /// @brief Takes newer evacuations; older ones are ignored. @return whether they were newer
    bool update(const Evacuations &evacuations);

    /// @brief Sets the zones that have servers. While none is known, every evacuation has effect.
    /// @return whether this changes which servers are evacuated
    bool setOccupied(std::set<std::string> zones);

    /// @brief Whether the server must get no new work.
    ///
    /// A leader's mark counts for a zone of the list even if the list would leave no server here: the leader knows the
    /// servers of all services. Once the list no longer names the zone, the mark does not count.
    bool isEvacuated(const UpstreamServer &server) const;

    /// @brief Sets the servers' marks. @return whether this changed any
    bool markIn(std::vector<UpstreamServer> &servers) const;

    const Evacuations &evacuations() const;

    /// @brief The evacuations whose state has changed since the last call.
    std::vector<EvacuationReport> takeReports();

private:
    EvacuationState stateOf(const std::string &zone) const;

    Evacuations m_evacuations;
    std::set<std::string> m_occupied;
    bool m_leavesServers = true;
    std::map<std::string, EvacuationState> m_reported; ///< by zone
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_EVACUATIONS_HPP
