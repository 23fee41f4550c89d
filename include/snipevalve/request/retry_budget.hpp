#ifndef SNIPEVALVE_REQUEST_RETRY_BUDGET_HPP
#define SNIPEVALVE_REQUEST_RETRY_BUDGET_HPP

#include <algorithm>

namespace snipevalve {

struct RetryBudgetOptions
{
    double retriesPerRequest = 0.2; ///< earned by each request
    double reserve = 20.0; ///< upper bound of unused retries
};

/// @brief Limits retries to a share of the requests, so that a failing server does not cause a retry storm.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : m_options(options)
        , m_saved(options.reserve)
    {
    }

    /// @brief Adds the share of a new request.
    void earn()
    {
        m_saved = std::min(m_options.reserve, m_saved + m_options.retriesPerRequest);
    }

    /// @return false when no retry is left
    bool take()
    {
        if (m_saved < 1.0) {
            return false;
        }
        m_saved -= 1.0;
        return true;
    }

private:
    RetryBudgetOptions m_options;
    double m_saved;
};

} // namespace snipevalve

#endif // SNIPEVALVE_REQUEST_RETRY_BUDGET_HPP
