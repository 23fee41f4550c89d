#ifndef SNIPEVALVE_STANDINS_THREAD_TIME_HPP
#define SNIPEVALVE_STANDINS_THREAD_TIME_HPP

#include <pthread.h>
#include <time.h>

#include <thread>

#include "snipevalve/core/time.hpp"

namespace snipevalve::standins {

/// @brief Processor time that a running thread has used so far.
inline Milliseconds processorTimeOf(std::thread &thread)
{
    clockid_t clock{};
    timespec used{};
    ::pthread_getcpuclockid(thread.native_handle(), &clock);
    ::clock_gettime(clock, &used);
    const auto time = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
    return std::chrono::duration_cast<Milliseconds>(time);
}

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_THREAD_TIME_HPP
