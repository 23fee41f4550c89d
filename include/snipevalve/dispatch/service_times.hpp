#ifndef SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
#define SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP

#include <algorithm>
#include <chrono>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

using Seconds = std::chrono::duration<double>;

/// @brief How much slower than normal a server is, as an exponentially weighted moving average.
class Slowness
{
public:
    explicit Slowness(double initial = 1.0)
        : m_factor(initial)
    {
    }

    void observe(double factor)
    {
        constexpr double Weight = 0.2; ///< the last ten observations make up nine tenths of the estimate
        constexpr double MinFactor = 0.1;
        constexpr double MaxFactor = 30.0; ///< a slower server is as good as unresponsive
        m_factor += Weight * (std::clamp(factor, MinFactor, MaxFactor) - m_factor);
    }

    /// @brief Decays the estimate of an idle server towards normal speed, so that it is tried again.
    void decay(Duration elapsed)
    {
        constexpr Seconds TimeConstant(4.0); ///< users report slow phases of 4 to 9 s
        m_factor += (1.0 - m_factor) * std::min(1.0, Seconds(elapsed) / TimeConstant);
    }

    double factor() const
    {
        return m_factor;
    }

private:
    double m_factor;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
