#ifndef SNIPEVALVE_NODE_ESTIMATE_LOG_HPP
#define SNIPEVALVE_NODE_ESTIMATE_LOG_HPP

#include <map>
#include <string>

#include "snipevalve/dispatch/work_estimates.hpp"
#include "snipevalve/gateway/gateway_config.hpp"

namespace snipevalve {

/// @brief Logs how long the requests of each route of one service are expected to take: when what refines the estimate
/// changes, and now and then.
class EstimateLog
{
public:
    /// @param config names the routes; may be null
    void update(const std::string &service, const WorkEstimates &estimates, const GatewayConfig *config, TimePoint now);

private:
    std::map<std::uint64_t, WorkEstimates::Refinement> m_refinements; ///< by class, as last logged
    TimePoint m_checkedAt;
    TimePoint m_loggedAt;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_ESTIMATE_LOG_HPP
