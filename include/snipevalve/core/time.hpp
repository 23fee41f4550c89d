#ifndef SNIPEVALVE_CORE_TIME_HPP
#define SNIPEVALVE_CORE_TIME_HPP

#include <chrono>

namespace snipevalve {

/// @brief The clock that all decisions use. It is monotonic and not affected by changes of the system time.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_TIME_HPP
