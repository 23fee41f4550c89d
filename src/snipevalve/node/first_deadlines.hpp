#ifndef SNIPEVALVE_NODE_FIRST_DEADLINES_HPP
#define SNIPEVALVE_NODE_FIRST_DEADLINES_HPP

#include <algorithm>
#include <map>
#include <string>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief How long callers of each route wait in all, learned from their deadlines.
///
/// A caller that was refused comes back with less time left, and its answer's worth still counts from its first
/// attempt. No header tells which attempt it is, but a deadline that is shorter than the route's usual one shows how
/// much time has passed. Answers the load pattern "refused callers return in a burst".
class RetryAgeEstimator
{
public:
    /// @return the time that has passed since the caller's first attempt
    Milliseconds observe(const std::string &route, Milliseconds deadline)
    {
        constexpr std::size_t MaxRoutes = 4'096; ///< a route that is not remembered counts each attempt as a first one
        const auto position = m_longestDeadlines.find(route);
        if (position == m_longestDeadlines.end()) {
            if (m_longestDeadlines.size() < MaxRoutes) {
                m_longestDeadlines[route] = deadline;
            }
            return Milliseconds::zero();
        }
        position->second = std::max(position->second, deadline);
        return position->second - deadline;
    }

private:
    std::map<std::string, Milliseconds> m_longestDeadlines;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_FIRST_DEADLINES_HPP
