#ifndef SNIPEVALVE_DISPATCH_JOINED_SERVERS_HPP
#define SNIPEVALVE_DISPATCH_JOINED_SERVERS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief Servers that joined a service and are due for a request. No I/O, threads or clock.
///
/// At low load the choice of a server prefers the zone and the open connections of the requesting host, so a server
/// that joins would get no request until the load rises. A joined server is due for a request a few times a second:
/// first for hosts that are connected to it, then for hosts of its zone, then for all. Each new pair of host and server
/// costs a connection, so the rate is low.
class JoinedServers
{
public:
    /// A joined server gets a request at least this often, as far as there are requests.
    static constexpr Milliseconds ConnectedInterval{300}; ///< from a host of its zone with an open connection
    static constexpr Milliseconds ZoneInterval{500}; ///< from any host of its zone
    static constexpr Milliseconds AnyInterval{1'000}; ///< from any host

    /// @brief Sets the servers of the service. Those of the first list have not joined, except those that are cold. A
    /// server whose zone is no longer evacuated joins anew.
    void setServers(const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief Records that the server has been given a request.
    void onPlaced(const std::string &server, TimePoint now);

    bool contains(const std::string &server) const;

    /// @brief How the server ranks for a host: 0 when it isn't due for a request, negative when it is; the lowest is
    /// due the longest.
    /// @param share the part of the service's requests that is counted here; the intervals grow accordingly
    int rank(const std::string &server, bool isInZone, bool isConnected, double share, TimePoint now) const;

private:
    struct Listed
    {
        std::int64_t incarnation = 0;
        bool isEvacuated = false;
    };

    bool m_hasList = false; ///< a list with servers has been set
    std::map<std::string, Listed> m_listed; ///< by id
    std::map<std::string, TimePoint> m_usedAt; ///< of the joined servers, by id: since when they have got no request
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_JOINED_SERVERS_HPP
