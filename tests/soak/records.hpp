#ifndef SNIPEVALVE_SOAK_RECORDS_HPP
#define SNIPEVALVE_SOAK_RECORDS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "soak/schedule.hpp"

namespace snipevalve::soak {

/// @brief One request as its caller saw it.
struct CallerRecord
{
    std::string id;
    std::size_t node = 0;
    bool idempotent = true;
    bool probesConfig = false; ///< asks for a route that only later versions have
    std::uint64_t needsVersion = 0; ///< the first version with its route
    TimePoint sentAt;
    TimePoint endedAt;
    unsigned status = 0; ///< 0: the connection ended without a whole answer
    bool wasSent = false; ///< all of it was written to an open connection
    bool bodyIsOwn = false;
};

/// @brief One arrival of a request at a server.
struct ServerRecord
{
    std::string server;
    std::string id;
    std::string service;
    TimePoint at;
    bool ran = false; ///< false: refused, nothing ran
};

/// @brief A time in which a node, or all, did not have to keep bounds.
struct Disturbance
{
    static constexpr std::size_t All = ~std::size_t(0);
    std::size_t node = All;
    TimePoint from;
    TimePoint to;
    bool planned = false;
    bool serversOnly = false; ///< excuses lost requests, but no late configuration and no work for a leaving server
};

/// @brief Everything that one run of the soak has seen.
struct SoakRecords
{
    std::vector<CallerRecord> requests;
    std::vector<ServerRecord> arrivals;
    std::vector<Disturbance> disturbances;
    std::map<std::string, TimePoint> drained; ///< by server: when the store acknowledged that it leaves
    std::map<std::uint64_t, TimePoint> configured; ///< by version: when the store acknowledged it
    std::map<std::size_t, std::vector<TimePoint>> starts; ///< of each node
    int doubleOwners = 0; ///< as the servers count them
    TimePoint healedAt; ///< the last fault was over
    TimePoint endedAt;
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_RECORDS_HPP
