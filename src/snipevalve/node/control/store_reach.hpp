#ifndef SNIPEVALVE_NODE_CONTROL_STORE_REACH_HPP
#define SNIPEVALVE_NODE_CONTROL_STORE_REACH_HPP

#include <algorithm>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Paces the calls of a host to a store that does not answer it. No I/O, threads or clock.
///
/// Answers the pattern "the store turns a third of the hosts away for 9 s": each of a host's four followers asked each
/// 150 ms, 17,000 calls on one day of 70 hosts. While the store is away one caller at a time tries, less and less
/// often; the first answer lets all call again.
class StoreBackoff
{
public:
    /// @return whether the caller may call now; while the store is away this uses up the turn
    bool mayCall(TimePoint now)
    {
        if (m_failures == 0) {
            return true;
        }
        if (now < m_nextTry) {
            return false;
        }
        m_nextTry = now + delay();
        return true;
    }

    void onSuccess()
    {
        m_failures = 0;
    }

    void onFailure(TimePoint now)
    {
        ++m_failures;
        m_nextTry = now + delay();
    }

private:
    static constexpr Milliseconds InitialDelay{150};
    /// Hosts have to know of changes within 2 s of the store's return and 3 s of grace.
    static constexpr Milliseconds MaxDelay{1'200};
    static constexpr int MaxDoublings = 3;

    Milliseconds delay() const
    {
        return std::min(InitialDelay * (1 << std::clamp(m_failures - 1, 0, MaxDoublings)), MaxDelay);
    }

    int m_failures = 0; ///< calls in a row without an answer
    TimePoint m_nextTry;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_STORE_REACH_HPP
