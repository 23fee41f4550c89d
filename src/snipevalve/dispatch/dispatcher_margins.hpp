#ifndef SNIPEVALVE_DISPATCH_DISPATCHER_MARGINS_HPP
#define SNIPEVALVE_DISPATCH_DISPATCHER_MARGINS_HPP

#include "snipevalve/dispatch/service_times.hpp"

/// @file What the two source files of the dispatcher share.

namespace snipevalve::detail {

/// So much of the mean work is kept for a request: nine in ten take less than 1.4 times the mean on the users' sites.
inline constexpr double WorkMargin = 1.4;
/// And so much of the time that a certain open server is expected to take.
inline constexpr double PlacementMargin = 1.2;
/// The work that can be in time is averaged over this, shorter than the users' bursts of 2 to 5 s.
inline constexpr Seconds DemandTimeConstant(1.5);

inline Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

} // namespace snipevalve::detail

#endif // SNIPEVALVE_DISPATCH_DISPATCHER_MARGINS_HPP
