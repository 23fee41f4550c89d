#ifndef SNIPEVALVE_NODE_NODE_SETTINGS_HPP
#define SNIPEVALVE_NODE_NODE_SETTINGS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief Start-up settings of a node process.
struct NodeSettings
{
    std::string host; ///< name of this host
    bool isFirstStart = false; ///< the whole system starts for the first time, so nothing has been stored before
    std::string run; ///< identifies this run of the process among all hosts; set at the start, not in the file
    std::string address; ///< local address of outgoing connections
    std::string zone; ///< availability zone of this host
    Endpoint callers; ///< listening address for callers
    Endpoint readiness; ///< listening address for the load balancer's readiness checks
    Endpoint control; ///< address at which the other hosts reach this one
    Endpoint controlListen; ///< listening address for them; differs from `control` behind a relay
    std::vector<Endpoint> seeds; ///< control addresses of some hosts, to find the others; may be out of date
    Endpoint store; ///< address of the store
    double processorShare = 1.0; ///< CPU time that the process may use, in cores
    std::size_t memoryBytes = 256 << 20;
    std::size_t maxDescriptors = 1024;
    Milliseconds heartbeatInterval{1000}; ///< how often servers renew their entry
    Milliseconds longestGrant{10'000}; ///< longest hold time of a grant that servers accept
    Milliseconds shortestLease{1'000}; ///< shortest lease duration that the store grants
    Milliseconds stopGrace{6'000}; ///< time between SIGTERM and SIGKILL
    Milliseconds drainBound{2'000}; ///< a server that leaves gets no new work after this time
    double retryRatio = 0.2; ///< retries allowed per request
    double retrySlack = 0; ///< retries allowed on top of the ratio in each window, over all hosts
    double warmupOverage = 1.5; ///< a cold server gets its rate times this, and `warmupSlack`, in any second at most
    double warmupSlack = 8; ///< in requests
    Milliseconds retryWindow{10'000}; ///< length of the sliding window in which retries are counted
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_NODE_SETTINGS_HPP
