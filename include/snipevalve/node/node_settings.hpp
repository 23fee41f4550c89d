#ifndef SNIPEVALVE_NODE_NODE_SETTINGS_HPP
#define SNIPEVALVE_NODE_NODE_SETTINGS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief What a node process is told at its start.
struct NodeSettings
{
    std::string host; ///< this host's name
    std::string address; ///< the local address of outgoing connections
    std::string zone;
    Endpoint callers; ///< where callers connect
    Endpoint readiness; ///< where the balancer asks whether this host takes callers
    Endpoint control; ///< where the other hosts connect
    std::vector<Endpoint> seeds; ///< control addresses of some hosts; may be out of date
    Endpoint store;
    double processorShare = 1.0; ///< of a core, over all cores
    std::size_t memoryBytes = 256 << 20;
    std::size_t maxDescriptors = 1024;
    Milliseconds heartbeatInterval{1000}; ///< how often servers renew their entry
    Milliseconds longestGrant{10'000}; ///< the longest hold that a server accepts
    Milliseconds shortestLease{1'000}; ///< the shortest lease that the store gives
    Milliseconds stopGrace{6'000}; ///< a process that still runs this long after SIGTERM is killed
    Milliseconds drainBound{2'000}; ///< a leaving server gets no new work after this time
    double retryRatio = 0.2; ///< repeated sends allowed for each request
    double retrySlack = 0; ///< repeated sends allowed besides, in each window, over all hosts
    Milliseconds retryWindow{10'000};
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_NODE_SETTINGS_HPP
