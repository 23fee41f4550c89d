#ifndef SNIPEVALVE_PLACEMENT_APP_LOAD_BOOK_HPP
#define SNIPEVALVE_PLACEMENT_APP_LOAD_BOOK_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/item.hpp"
#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Adds up the requests by slot that the entry processes report.
class LoadAggregator
{
public:
    /// @param item a Load item, `host/entry#service/index`, whose payload is four bytes a slot
    void apply(const Item &item, TimePoint now);

    /// @brief Requests a second by slot of a group, smoothed over the last reports of the processes still reporting.
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

#endif // SNIPEVALVE_PLACEMENT_APP_LOAD_BOOK_HPP
