#ifndef SNIPEVALVE_DISPATCH_WORK_HPP
#define SNIPEVALVE_DISPATCH_WORK_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief Identifies one send of one request within a dispatcher.
using Ticket = std::uint64_t;

/// @brief What the expected work of a request depends on.
struct WorkTraits
{
    std::uint64_t workClass = 0; ///< requests of one class have similar service times
    std::optional<std::uint16_t> key; ///< for keyed services
    std::uint32_t bodyBytes = 0; ///< length of the request's body
};

/// @brief A request that waits for a server.
struct WorkItem
{
    Ticket ticket = 0;
    std::uint64_t workClass = 0; ///< requests of one class have similar service times
    int priority = 0; ///< 0 is the highest
    bool repeat = false; ///< the request was sent before; this send counts against the retry budget
    bool isRepeatCounted = false; ///< another dispatcher's retry budget has allowed and counted this repeat
    std::optional<std::uint16_t> key; ///< for keyed services
    std::uint32_t bodyBytes = 0; ///< length of the request's body
    std::string zone; ///< of the requesting host
    std::uint32_t host = 0; ///< number of the requesting host, unique among the hosts
    TimePoint targetBy; ///< an answer by then has full value
    TimePoint deadline; ///< an answer after this has no value
    std::vector<std::string> avoid; ///< ids of servers that have failed this request
    std::chrono::duration<double> expectedWork{0}; ///< as of its submission; zero: not known yet
};

inline WorkTraits traitsOf(const WorkItem &item)
{
    return {item.workClass, item.key, item.bodyBytes};
}

/// @brief How a send ended, with what that says about the server.
enum class WorkEnd {
    Done, ///< a complete answer
    Refused, ///< the server said that it did not run the request
    Unreachable, ///< no connection; nothing was sent
    Lost, ///< bytes were sent and no complete answer arrived in time
    Abandoned, ///< the caller disconnected, or the send was never made
};

/// @brief The item may be sent to this server now.
struct Placement
{
    Ticket ticket = 0;
    UpstreamServer server;
    Duration expected{}; ///< expected service time on this server
    bool byLeader = false; ///< the service's leader decided; false: this host by itself
};

enum class RejectReason {
    NoServer, ///< no server of the service is usable
    NoOwner, ///< no server owns the key
    TooLate, ///< the wait would exceed the request's deadline
    RetryBudget, ///< the repeats of the current window are used up
    Stopping, ///< this host is shutting down
    Paused, ///< the servers ask this host for a pause that outlasts the request's deadline
};

/// @brief The item is not sent.
struct Rejection
{
    Ticket ticket = 0;
    RejectReason reason = RejectReason::TooLate;
    Duration retryAfter{}; ///< when capacity is expected to be available
    std::uint32_t waiting = 0; ///< length of the queue at the time of the decision
    bool byLeader = false; ///< the service's leader decided; false: this host by itself
};

using DispatchDecision = std::variant<Placement, Rejection>;

/// @brief A short text for logs and for the response to the caller.
std::string_view describe(RejectReason reason);

/// @brief A short text for logs and metrics.
std::string_view describe(WorkEnd end);

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_WORK_HPP
