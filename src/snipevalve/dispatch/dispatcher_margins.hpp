#ifndef SNIPEVALVE_DISPATCH_DISPATCHER_MARGINS_HPP
#define SNIPEVALVE_DISPATCH_DISPATCHER_MARGINS_HPP

#include "snipevalve/dispatch/service_times.hpp"

/// @file Constants shared by the two source files of the dispatcher.

namespace snipevalve::detail {

/// Safety factor on the mean service time: on the users' sites nine requests in ten take less than 1.4 times the mean.
inline constexpr double WorkMargin = 1.4;
/// Safety factor on the time expected on a specific available server.
inline constexpr double PlacementMargin = 1.2;
/// Averaging time of the on-time demand; shorter than the users' bursts of 2 to 5 s.
inline constexpr Seconds DemandTimeConstant(1.5);

inline Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

} // namespace snipevalve::detail

#endif // SNIPEVALVE_DISPATCH_DISPATCHER_MARGINS_HPP
