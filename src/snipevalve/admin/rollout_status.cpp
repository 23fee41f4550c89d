#include "snipevalve/admin/rollout_status.hpp"

namespace snipevalve {

RolloutStatus rolloutStatus(const HostList &hosts, const std::map<std::string, std::uint64_t> &reports,
                            std::uint64_t revision)
{
    RolloutStatus status;
    for (const Host &host : hosts) {
        if (host.leaving) {
            continue;
        }
        for (const char *program : {"/entry", "/placement"}) {
            const std::string node = host.name + program;
            const auto report = reports.find(node);
            const bool isApplied = report != reports.end() && report->second >= revision;
            (isApplied ? status.applied : status.lagging).push_back(node);
        }
    }
    return status;
}

} // namespace snipevalve
