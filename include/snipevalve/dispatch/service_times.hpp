#ifndef SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
#define SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
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
///
/// Mean and slowness are both estimated from one figure. When the mean was corrected by the whole slowness, the noise
/// of 1 / slowness, which is above 1 on average, made it rise without bound while the slowness of all servers fell. The
/// square root of it takes half of a slow phase out of the mean, and lets the mean return to what servers take.
class ServiceTimes
{
public:
    Seconds expected(std::uint64_t workClass, double slowness) const
    {
        const auto position = m_classes.find(workClass);
        return (position == m_classes.end() ? InitialMean : position->second.mean) * slowness;
    }

    /// @return the service time of this request divided by the previous mean
    double observe(std::uint64_t workClass, Duration took, double slowness)
    {
        constexpr double Weight = 0.02; ///< one request in fifty; one of 3 to 5 times the mean adds at most a tenth
        constexpr double MinSlowness = 0.1;
        const Seconds corrected = Seconds(took) / std::sqrt(std::max(slowness, MinSlowness));
        Class &known = m_classes.try_emplace(workClass, Class{corrected, TimePoint()}).first->second;
        const double factor = known.mean.count() > 0 ? Seconds(took) / known.mean : 1.0;
        known.mean += Weight * (corrected - known.mean);
        return factor;
    }

    /// @brief Whether a request may be sent only to learn how long its class takes now. A mean above every deadline
    /// admits no request, and would never change again after the cause has ended.
    bool takeTrial(std::uint64_t workClass, TimePoint now)
    {
        constexpr Milliseconds TrialInterval(50);
        const auto position = m_classes.find(workClass);
        if (position == m_classes.end() || now - position->second.lastTrial < TrialInterval) {
            return false;
        }
        position->second.lastTrial = now;
        return true;
    }

private:
    struct Class
    {
        Seconds mean;
        TimePoint lastTrial;
    };

    static constexpr Seconds InitialMean{0.1}; ///< before the first answer; users' request classes take 36 to 500 ms
    std::map<std::uint64_t, Class> m_classes;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SERVICE_TIMES_HPP
