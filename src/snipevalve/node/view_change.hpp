#ifndef SNIPEVALVE_NODE_VIEW_CHANGE_HPP
#define SNIPEVALVE_NODE_VIEW_CHANGE_HPP

#include <string>
#include <vector>

#include "snipevalve/node/service_view.hpp"

namespace snipevalve {

/// @brief What turns one view of a service into a later one.
///
/// Answers the load pattern "hundreds of hosts follow hundreds of servers": whole views, each of 40 KB, took half of
/// all bytes between zones where 195 hosts got one with every move of keys.
struct ViewChange
{
    std::string service;
    bool keyed = false;
    std::vector<UpstreamServer> servers; ///< new or different
    std::vector<std::string> removed; ///< ids
    std::vector<OwnedRange> owners; ///< rising; keys with another owner, an empty one for none

    bool operator==(const ViewChange &) const = default;
};

/// @param from and
/// @param to views of one service
ViewChange changeBetween(const ServiceView &from, const ServiceView &to);

/// @return the view after the change
ServiceView applyChange(const ServiceView &view, const ViewChange &change);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_VIEW_CHANGE_HPP
