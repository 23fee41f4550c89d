#ifndef SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
#define SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>

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

/// @brief The mean service time of each class of requests on a server of normal speed.
class ServiceTimes
{
public:
    Seconds expected(std::uint64_t workClass, double slowness) const
    {
        const auto position = m_means.find(workClass);
        return (position == m_means.end() ? InitialMean : position->second) * slowness;
    }

    /// @return the service time of this request divided by the previous mean
    double observe(std::uint64_t workClass, Duration took, double slowness)
    {
        constexpr double Weight = 0.02; ///< one request in fifty; one of 3 to 5 times the mean adds at most a tenth
        const auto position = m_means.try_emplace(workClass, Seconds(took) / std::max(slowness, 0.1)).first;
        const double factor = Seconds(took) / position->second;
        position->second += Weight * (Seconds(took) / std::max(slowness, 0.1) - position->second);
        return factor;
    }

private:
    static constexpr Seconds InitialMean{0.1}; ///< before the first answer; users' request classes take 36 to 500 ms
    std::map<std::uint64_t, Seconds> m_means;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
