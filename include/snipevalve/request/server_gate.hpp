#ifndef SNIPEVALVE_REQUEST_SERVER_GATE_HPP
#define SNIPEVALVE_REQUEST_SERVER_GATE_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

struct ConcurrencyLimiterOptions
{
    std::uint32_t limit = 1; ///< requests at the server at once from this gate
    std::size_t queueLength = 64;
};

/// @brief What the gate answers to a new request.
enum class Admission {
    Enter,
    Wait,
    Refuse, ///< the queue is full, or the deadline would pass in it
};

/// @brief Limits the requests at one server; further ones wait in order of their deadlines. No I/O, threads or clock.
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(ConcurrencyLimiterOptions options);

    /// @param ticket unique to the request; names it in leave() and in the return of nextWaiting()
    Admission arrive(std::uint64_t ticket, TimePoint deadline, TimePoint now);

    /// @brief A request that was let in has ended after `took`.
    /// @return the waiting request that enters in its place
    std::optional<std::uint64_t> leave(Duration took, TimePoint now);

    /// @brief A waiting request gives up.
    void giveUp(std::uint64_t ticket);

    /// @brief Changes the limit. Requests inside stay.
    void setLimit(std::uint32_t limit);

    std::uint32_t inside() const;
    std::size_t waiting() const;

    /// @brief The time that a new request would wait, from the smoothed time of past ones.
    Duration expectedWait() const;

private:
    using Queue = std::multimap<TimePoint, std::uint64_t>;

    ConcurrencyLimiterOptions m_options;
    std::uint32_t m_inside = 0;
    Queue m_queue;
    Duration m_smoothedTime{};
};

} // namespace snipevalve

#endif // SNIPEVALVE_REQUEST_SERVER_GATE_HPP
