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
        , m_steadyFactor(initial)
    {
    }

    void observe(double factor)
    {
        constexpr double Weight = 0.2; ///< the last ten observations make up nine tenths of the estimate
        constexpr double SteadyWeight = 0.05; ///< the last forty
        constexpr double MinFactor = 0.1;
        constexpr double MaxFactor = 30.0; ///< a slower server is as good as unresponsive
        const double clamped = std::clamp(factor, MinFactor, MaxFactor);
        m_factor += Weight * (clamped - m_factor);
        m_steadyFactor += SteadyWeight * (clamped - m_steadyFactor);
    }

    /// @brief Decays the estimate of an idle server towards normal speed, so that it is tried again.
    void decay(Duration elapsed)
    {
        constexpr Seconds TimeConstant(4.0); ///< users report slow phases of 4 to 9 s
        const double share = std::min(1.0, Seconds(elapsed) / TimeConstant);
        m_factor += (1.0 - m_factor) * share;
        m_steadyFactor += (1.0 - m_steadyFactor) * share;
    }

    double factor() const
    {
        return m_factor;
    }

    /// @brief The mean over more answers, which varies less with the work of the single requests.
    double steadyFactor() const
    {
        return m_steadyFactor;
    }

private:
    double m_factor;
    double m_steadyFactor;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
