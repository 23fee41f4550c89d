#ifndef SNIPEVALVE_REQUEST_OUTLIER_DETECTOR_HPP
#define SNIPEVALVE_REQUEST_OUTLIER_DETECTOR_HPP

#include <algorithm>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

struct OutlierOptions
{
    int failuresToEject = 3; ///< consecutive
    Milliseconds firstEjection{500};
    Milliseconds longestEjection{10'000};
};

/// @brief Ejects a server from a pool for a while after consecutive failures seen by this host.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {})
        : m_options(options)
    {
    }

    void onSuccess()
    {
        m_failures = 0;
        m_ejections = 0;
    }

    void onFailure(TimePoint now)
    {
        ++m_failures;
        if (m_failures < m_options.failuresToEject) {
            return;
        }
        constexpr int MaxDoublings = 10;
        const Milliseconds ejection = m_options.firstEjection * (1 << std::min(m_ejections, MaxDoublings));
        m_ejectedUntil = now + std::min(ejection, m_options.longestEjection);
        ++m_ejections;
        m_failures = m_options.failuresToEject - 1;
    }

    bool isEjected(TimePoint now) const
    {
        return now < m_ejectedUntil;
    }

private:
    OutlierOptions m_options;
    int m_failures = 0;
    int m_ejections = 0;
    TimePoint m_ejectedUntil;
};

} // namespace snipevalve

#endif // SNIPEVALVE_REQUEST_OUTLIER_DETECTOR_HPP
