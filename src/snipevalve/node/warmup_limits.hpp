#ifndef SNIPEVALVE_NODE_WARMUP_LIMITS_HPP
#define SNIPEVALVE_NODE_WARMUP_LIMITS_HPP

#include <string>
#include <vector>

#include "snipevalve/dispatch/warmup_pace.hpp"
#include "snipevalve/gateway/gateway_config.hpp"
#include "snipevalve/node/node_settings.hpp"

namespace snipevalve {

/// @brief The limits for the cold servers of a service. Without `warmup_per_s` there are none.
WarmupLimits warmupLimitsOf(const GatewayService &service, const NodeSettings &settings);

/// @brief The part of the limits that a host without a leader may use.
///
/// Half of an even share: the leader or the other half of a cut may use the limits at the same time.
/// @param hosts how many hosts share the servers; 0 when it is unknown
double localWarmupShare(std::uint32_t hosts);

/// @param decidedBy `leader` or `host`
void logWarmupEvents(const std::string &service, const std::vector<WarmupEvent> &events, const std::string &decidedBy);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_WARMUP_LIMITS_HPP
