#ifndef SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
#define SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

using Seconds = std::chrono::duration<double>;

/// @brief How much slower than usual a server is, by exponentially weighted observations.
class Slowness
{
public:
    explicit Slowness(double initial = 1.0)
        : m_factor(initial)
    {
    }

    void observe(double factor)
    {
        constexpr double Weight = 0.2; ///< the last ten observations make nine tenths of the estimate
        constexpr double MinFactor = 0.1;
        constexpr double MaxFactor = 30.0; ///< beyond this the server is as good as silent
        m_factor += Weight * (std::clamp(factor, MinFactor, MaxFactor) - m_factor);
    }

    /// @brief Lets the estimate of a server that gets no work drift back, so that it is tried again.
    void decay(Duration elapsed)
    {
        constexpr Seconds TimeConstant(4.0); ///< a slow spell of the users' pages lasts 4 to 9 s
        m_factor += (1.0 - m_factor) * std::min(1.0, Seconds(elapsed) / TimeConstant);
    }

    double factor() const
    {
        return m_factor;
    }

private:
    double m_factor;
};

/// @brief The mean work of each class of requests on a server of usual speed.
class ServiceTimes
{
public:
    Seconds expected(std::uint64_t workClass, double slowness) const
    {
        const auto position = m_means.find(workClass);
        return (position == m_means.end() ? InitialMean : position->second) * slowness;
    }

    /// @return how slow the server was on this request, against the mean before it
    double observe(std::uint64_t workClass, Duration took, double slowness)
    {
        constexpr double Weight = 0.02; ///< one request in fifty; outliers of x3 to x5 move it by a tenth at most
        const auto position = m_means.try_emplace(workClass, Seconds(took) / std::max(slowness, 0.1)).first;
        const double factor = Seconds(took) / position->second;
        position->second += Weight * (Seconds(took) / std::max(slowness, 0.1) - position->second);
        return factor;
    }

private:
    static constexpr Seconds InitialMean{0.1}; ///< before the first answer; the users' kinds take 36 to 500 ms
    std::map<std::uint64_t, Seconds> m_means;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
