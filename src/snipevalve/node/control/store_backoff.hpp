#ifndef SNIPEVALVE_NODE_CONTROL_STORE_BACKOFF_HPP
#define SNIPEVALVE_NODE_CONTROL_STORE_BACKOFF_HPP

#include <algorithm>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Exponential backoff that all users of the store on one host share. No I/O, threads or clock.
///
/// During an outage one user at a time retries, at growing intervals; the first answer lets all of them call again.
/// With a fixed retry interval of 150 ms for each of the four watchers, 70 hosts made 17,000 calls in a day on which
/// the store rejected a third of the hosts for 9 s at a time.
class StoreBackoff
{
public:
    /// @brief Whether the store may be called now. During an outage, true also starts the next backoff interval.
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
    /// Hosts must see changes within 2 s after the store recovers, plus a grace time of 3 s.
    static constexpr Milliseconds MaxDelay{1'200};
    static constexpr int MaxDoublings = 3;

    Milliseconds delay() const
    {
        return std::min(InitialDelay * (1 << std::clamp(m_failures - 1, 0, MaxDoublings)), MaxDelay);
    }

    int m_failures = 0; ///< consecutive calls that failed
    TimePoint m_nextTry;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_STORE_BACKOFF_HPP
