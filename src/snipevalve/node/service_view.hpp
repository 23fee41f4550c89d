#ifndef SNIPEVALVE_NODE_SERVICE_VIEW_HPP
#define SNIPEVALVE_NODE_SERVICE_VIEW_HPP

#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief What a host knows of one service's servers and of who holds its keys.
struct ServiceView
{
    std::string service;
    bool keyed = false;
    std::vector<UpstreamServer> servers;
    KeyOwners owners;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_SERVICE_VIEW_HPP
