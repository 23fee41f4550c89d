#ifndef SNIPEVALVE_ADMIN_FORCE_STATUS_HPP
#define SNIPEVALVE_ADMIN_FORCE_STATUS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/hosts/host_list.hpp"

namespace snipevalve {

/// @brief Where a revision of the configuration is in force.
struct RolloutStatus
{
    std::vector<std::string> applied; ///< programs that have applied it, `host/program`
    std::vector<std::string> lagging; ///< programs of live hosts that have not reported it
};

/// @brief Compares the reports with the list of live hosts. A program without a report lags.
/// @param reports the revision that each program has reported, by `host/program`
RolloutStatus rolloutStatus(const HostList &hosts, const std::map<std::string, std::uint64_t> &reports,
                            std::uint64_t revision);

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_FORCE_STATUS_HPP
