#ifndef SNIPEVALVE_DISPATCH_RECENT_DEMAND_HPP
#define SNIPEVALVE_DISPATCH_RECENT_DEMAND_HPP

#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve {

/// @brief The recent arrivals of one kind of requests, in requests per second and in slots.
///
/// A moving average over about two seconds is steady enough for a server that gets two or three requests a second. It
/// is corrected at once when the arrivals of the last few hundred milliseconds contradict it, by more than the variance
/// of a Poisson process explains.
class RecentDemand
{
public:
    /// @param observedSince from when on arrivals have been counted; earlier ones are unknown rather than absent
    explicit RecentDemand(TimePoint observedSince);

    /// @param work the expected service time of the arrival
    void add(Seconds work, TimePoint now);

    /// @brief The moving average, in requests per second.
    double averageRate(TimePoint now) const;

    /// @brief The requests per second now.
    /// @param assumedRate kept unless the last few hundred milliseconds contradict it
    double currentRate(double assumedRate, TimePoint now) const;

    /// @brief The mean service time of the recent arrivals.
    Seconds meanWork() const;

private:
    TimePoint m_observedSince;
    TimePoint m_lastAt;
    double m_rate = 0; ///< as of m_lastAt, averaged over some seconds
    double m_fastRate = 0; ///< as of m_lastAt, averaged over some hundred milliseconds
    Seconds m_meanWork{0};
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_RECENT_DEMAND_HPP
