#ifndef SNIPEVALVE_PLACEMENT_APP_LOAD_AGGREGATOR_HPP
#define SNIPEVALVE_PLACEMENT_APP_LOAD_AGGREGATOR_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/item.hpp"
#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Smooths the request counts by slot that each entry process reports, and adds them up by group.
class LoadAggregator
{
public:
    /// @param item a Load item, `host/entry#service/index`, whose payload has four bytes per slot
    void apply(const Item &item, TimePoint now);

    /// @return requests per second for each slot of a group, smoothed over the recent reports of the processes that
    /// still report; empty if nothing is known
    std::vector<double> loadsOf(const std::string &group, TimePoint now) const;

private:
    struct Report
    {
        std::vector<double> smoothed;
        TimePoint receivedAt;
    };

    std::map<std::string, std::map<std::string, Report>> m_reports; ///< by group, then by reporter
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_LOAD_AGGREGATOR_HPP
