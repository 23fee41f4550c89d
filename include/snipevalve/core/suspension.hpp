#ifndef SNIPEVALVE_CORE_SUSPENSION_HPP
#define SNIPEVALVE_CORE_SUSPENSION_HPP

#include <ctime>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief The total time this machine has spent suspended since boot. The monotonic clock stops during a suspend, the
/// boot clock does not; this is their difference.
inline Duration suspendedTime()
{
    const auto read = [](clockid_t clock) {
        timespec time{};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    return std::chrono::duration_cast<Duration>(read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC));
}

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_SUSPENSION_HPP
