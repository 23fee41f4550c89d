#ifndef SNIPEVALVE_NODE_VIEW_CHANGE_HPP
#define SNIPEVALVE_NODE_VIEW_CHANGE_HPP

#include <string>
#include <vector>

#include "snipevalve/node/service_view.hpp"

namespace snipevalve {

/// @brief The delta between two views of a service.
///
/// Leaders send deltas because whole views do not scale to hundreds of hosts and servers: with 195 hosts, a 40 KB view
/// to each of them for every move of keys made up half of the traffic between zones.
struct ViewChange
{
    std::string service;
    bool keyed = false;
    std::vector<UpstreamServer> servers; ///< added or changed
    std::vector<std::string> removed; ///< ids of removed servers
    std::vector<OwnedRange> owners; ///< in ascending order; ranges with a new owner, which is empty for unowned keys

    bool operator==(const ViewChange &) const = default;
};

/// @param from the earlier view
/// @param to a later view of the same service
/// @return the delta that turns `from` into `to`
ViewChange changeBetween(const ServiceView &from, const ServiceView &to);

/// @return `view` with `change` applied
ServiceView applyChange(const ServiceView &view, const ViewChange &change);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_VIEW_CHANGE_HPP
