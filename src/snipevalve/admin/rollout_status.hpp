#ifndef SNIPEVALVE_ADMIN_ROLLOUT_STATUS_HPP
#define SNIPEVALVE_ADMIN_ROLLOUT_STATUS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/hosts/host_list.hpp"

namespace snipevalve {

/// @brief Which programs have applied a revision of the configuration.
struct RolloutStatus
{
    std::vector<std::string> applied; ///< programs that have applied the revision, as `host/program`
    std::vector<std::string> lagging; ///< programs of live hosts that have not reported the revision
};

/// @brief Compares the reports with the host list. A program without a report counts as lagging; leaving hosts are
/// skipped.
/// @param reports the highest revision that each program has reported, by `host/program`
RolloutStatus rolloutStatus(const HostList &hosts, const std::map<std::string, std::uint64_t> &reports,
                            std::uint64_t revision);

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_ROLLOUT_STATUS_HPP
