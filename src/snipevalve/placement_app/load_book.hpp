#ifndef SNIPEVALVE_PLACEMENT_APP_LOAD_BOOK_HPP
#define SNIPEVALVE_PLACEMENT_APP_LOAD_BOOK_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/item.hpp"

namespace snipevalve {

/// @brief Adds up the requests by slot that the entry processes report.
class LoadBook
{
public:
    /// @param item a Load item, `host/entry#service/index`, whose payload is four bytes a slot
    void apply(const Item &item);

    /// @brief Requests a second by slot of each group, smoothed over the last reports.
    const std::map<std::string, std::vector<double>> &loads();

private:
    std::map<std::string, std::map<std::string, std::vector<double>>> m_reports; ///< by group, then by reporter
    std::map<std::string, std::vector<double>> m_sums;
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_LOAD_BOOK_HPP
