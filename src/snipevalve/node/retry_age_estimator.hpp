#ifndef SNIPEVALVE_NODE_RETRY_AGE_ESTIMATOR_HPP
#define SNIPEVALVE_NODE_RETRY_AGE_ESTIMATOR_HPP

#include <algorithm>
#include <map>
#include <string>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Estimates the time since a caller's first attempt from the deadline header.
///
/// A caller that was refused retries with less time left, and the value of its answer still counts from its first
/// attempt. No header numbers the attempts, but the difference between the longest deadline seen on the route and this
/// one tells how much time has passed. This matters when many refused callers return in a burst.
class RetryAgeEstimator
{
public:
    /// @brief Records the deadline of an attempt.
    /// @param route name of the route
    /// @param deadline how long the caller will wait for this attempt
    /// @return estimated time since the caller's first attempt
    Milliseconds observe(const std::string &route, Milliseconds deadline)
    {
        constexpr std::size_t MaxRoutes = 4'096; ///< further routes are not tracked: each attempt counts as a first one
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
    std::map<std::string, Milliseconds> m_longestDeadlines; ///< by route
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_RETRY_AGE_ESTIMATOR_HPP
