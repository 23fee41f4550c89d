#include "snipevalve/dispatch/recent_demand.hpp"

#include <cmath>

namespace snipevalve {

namespace {

/// Averages over about ten requests of a server that gets 2.5 a second.
constexpr Seconds TimeConstant(2.0);
constexpr Seconds FastTimeConstant(0.3);
/// An average over fewer milliseconds than this is not extrapolated.
constexpr Seconds MinObservedTime(0.3);
/// Standard deviations by which the fast average has to differ from the slow one.
constexpr double SignificantDeviations = 2.0;
/// Multiple of the mean time between arrivals without any after which they have ended: one gap in 150 is as long.
/// With 3.5 (one in 33), a burst of long requests took the reserve too often: 83 % in target instead of 94 %.
constexpr double EndingGap = 5.0;
constexpr double MeanWorkWeight = 0.1;

/// The standard deviation of the fast average of a Poisson process with this rate.
double fastDeviation(double rate)
{
    return std::sqrt(rate / (2.0 * FastTimeConstant.count()));
}

} // namespace

RecentDemand::RecentDemand(TimePoint observedSince)
    : m_observedSince(observedSince)
    , m_lastAt(observedSince)
{
}

void RecentDemand::add(Seconds work, TimePoint now)
{
    const Seconds elapsed = std::max(Duration::zero(), now - m_lastAt);
    m_rate = m_rate * std::exp(-elapsed / TimeConstant) + 1.0 / TimeConstant.count();
    m_fastRate = m_fastRate * std::exp(-elapsed / FastTimeConstant) + 1.0 / FastTimeConstant.count();
    m_meanWork = m_meanWork.count() > 0 ? m_meanWork + MeanWorkWeight * (work - m_meanWork) : work;
    m_lastAt = std::max(m_lastAt, now);
}

double RecentDemand::averageRate(TimePoint now) const
{
    const Seconds observed = std::max(MinObservedTime, Seconds(now - m_observedSince));
    const double coveredShare = 1.0 - std::exp(-observed / TimeConstant);
    return m_rate * std::exp(-Seconds(now - m_lastAt) / TimeConstant) / coveredShare;
}

double RecentDemand::currentRate(double assumedRate, TimePoint now) const
{
    const Seconds elapsed = now - m_lastAt;
    if (elapsed.count() * assumedRate > EndingGap) {
        return 0;
    }
    const double fast = m_fastRate * std::exp(-elapsed / FastTimeConstant);
    const double highest = fast + SignificantDeviations * fastDeviation(assumedRate);
    const double lowest = std::min(highest, fast - SignificantDeviations * fastDeviation(fast));
    return std::clamp(assumedRate, lowest, highest);
}

Seconds RecentDemand::meanWork() const
{
    return m_meanWork;
}

} // namespace snipevalve
