#ifndef SNIPEVALVE_NODE_SERVICE_VIEW_HPP
#define SNIPEVALVE_NODE_SERVICE_VIEW_HPP

#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief A host's snapshot of one service: its servers and the owners of its keys.
struct ServiceView
{
    std::string service;
    bool keyed = false; ///< whether servers own keys exclusively
    std::vector<UpstreamServer> servers;
    KeyOwners owners; ///< for keyed services only
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_SERVICE_VIEW_HPP
