#ifndef SNIPEVALVE_GATEWAY_CONFIG_CHANGE_HPP
#define SNIPEVALVE_GATEWAY_CONFIG_CHANGE_HPP

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "snipevalve/gateway/gateway_config.hpp"

namespace snipevalve {

/// @brief What turns one version of the configuration into a later one.
///
/// Hosts get changes from leaders instead of reading each version from the store: with 1,400 routes a version takes
/// 0.3 s of a link of 10 Mbit/s, and as long of a small host's processor.
struct ConfigChange
{
    std::uint64_t base = 0; ///< the version it starts from; 0 when it holds a whole configuration
    std::uint64_t version = 0;
    CallerLimits limits;
    std::map<std::string, GatewayService> services;
    std::vector<GatewayRoute> routes; ///< new or different
    std::vector<RoutePlace> removed;
};

/// @param base null for a change that holds all of `next`
ConfigChange changeBetween(const GatewayConfig *base, const GatewayConfig &next);

/// @param base the configuration in force; null when there is none
/// @return the later configuration; null when the change starts from another version
std::shared_ptr<const GatewayConfig> applyChange(const GatewayConfig *base, const ConfigChange &change);

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_CONFIG_CHANGE_HPP
