#ifndef SNIPEVALVE_SOAK_RECORDS_HPP
#define SNIPEVALVE_SOAK_RECORDS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/upstream_server.hpp"
#include "soak/schedule.hpp"

namespace snipevalve::soak {

/// @brief One request as its caller saw it.
struct CallerRecord
{
    std::string id;
    std::size_t node = 0;
    bool idempotent = true;
    bool probesConfig = false; ///< requests a route that was added by a configuration change
    std::uint64_t needsVersion = 0; ///< the first configuration version with this route
    TimePoint sentAt;
    TimePoint endedAt;
    unsigned status = 0; ///< 0: the connection ended without a complete response
    bool wasSent = false; ///< it was written completely to an open connection
    bool bodyMatches = false;
};

/// @brief One arrival of a request at a server.
struct ServerRecord
{
    std::string server;
    std::string id;
    std::string service;
    TimePoint at;
    bool ran = false; ///< false: the server refused it without running it
    std::int64_t serverStart = 0; ///< identifies the run of the server
    bool announcesLeaving = false; ///< its answer says that it leaves
    Milliseconds pause{0}; ///< that its answer asks for
};

/// @brief A period in which one node, or all nodes, are exempt from bounds.
struct Disturbance
{
    static constexpr std::size_t All = ~std::size_t(0);
    std::size_t node = All;
    TimePoint from;
    TimePoint to;
    bool planned = false;
    bool serversOnly = false; ///< exempts lost requests, but neither late configuration nor work for a draining server
};

/// @brief Everything recorded during one soak run.
struct SoakRecords
{
    std::vector<CallerRecord> requests;
    std::vector<ServerRecord> arrivals;
    std::vector<Disturbance> disturbances;
    std::map<ServerIncarnation, TimePoint> drained; ///< by run of a server: when its drain began
    std::map<std::uint64_t, TimePoint> configured; ///< by version: when the store acknowledged it
    std::map<std::size_t, std::vector<TimePoint>> starts; ///< of each node
    TimePoint healedAt; ///< when the last fault ended
    TimePoint endedAt;
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_RECORDS_HPP
