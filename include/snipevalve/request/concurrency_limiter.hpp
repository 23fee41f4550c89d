#ifndef SNIPEVALVE_REQUEST_CONCURRENCY_LIMITER_HPP
#define SNIPEVALVE_REQUEST_CONCURRENCY_LIMITER_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

struct ConcurrencyLimiterOptions
{
    std::uint32_t limit = 1; ///< requests admitted to the server at the same time
    std::size_t queueLength = 64;
};

/// @brief The decision on a new request.
enum class Admission {
    Enter,
    Wait,
    Refuse, ///< the queue is full, or the deadline would pass while waiting
};

/// @brief Limits the concurrent requests to one server; further ones wait in deadline order. No I/O, threads or clock.
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(ConcurrencyLimiterOptions options);

    /// @param ticket unique to the request; identifies it in giveUp() and in the result of leave()
    Admission admit(std::uint64_t ticket, TimePoint deadline, TimePoint now);

    /// @brief Ends an admitted request that took `took`.
    /// @return the waiting request that is admitted in its place
    std::optional<std::uint64_t> release(Duration took, TimePoint now);

    /// @brief Removes a waiting request.
    void cancel(std::uint64_t ticket);

    /// @brief Changes the limit. Requests already admitted are not affected.
    void setLimit(std::uint32_t limit);

    std::uint32_t admitted() const;
    std::size_t waiting() const;

    /// @brief The expected wait of a new request, from the smoothed time of past requests.
    Duration expectedWait() const;

private:
    using Queue = std::multimap<TimePoint, std::uint64_t>;

    ConcurrencyLimiterOptions m_options;
    std::uint32_t m_admitted = 0;
    Queue m_queue;
    Duration m_smoothedTime{};
};

} // namespace snipevalve

#endif // SNIPEVALVE_REQUEST_CONCURRENCY_LIMITER_HPP
