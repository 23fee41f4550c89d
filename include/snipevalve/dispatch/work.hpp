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

/// @brief Names one send of one request within a dispatcher.
using Ticket = std::uint64_t;

/// @brief A request that waits for a server.
struct WorkItem
{
    Ticket ticket = 0;
    std::uint64_t workClass = 0; ///< requests of one class take about the same work
    int priority = 0; ///< 0 is the highest
    bool repeat = false; ///< the request was sent to a server before and draws on the retry budget
    std::optional<std::uint16_t> key; ///< for keyed services
    std::string zone; ///< of the host that asks
    std::uint32_t host = 0; ///< the host that asks, by any number that tells hosts apart
    TimePoint targetBy; ///< an answer by then is worth most
    TimePoint deadline; ///< an answer after this is worth nothing
    std::vector<std::string> avoid; ///< ids of servers that have failed this request
};

/// @brief How a send ended, as far as it tells something about the server.
enum class WorkEnd {
    Done, ///< a whole answer
    Refused, ///< the server said that it did not run the request
    Unreachable, ///< no connection; nothing was sent
    Lost, ///< bytes were sent and no whole answer came in time
    Abandoned, ///< the caller left, or the send did not happen
};

/// @brief The item may be sent to this server now.
struct Placement
{
    Ticket ticket = 0;
    UpstreamServer server;
    Duration expected{}; ///< how long the server will probably take
    bool byLeader = false; ///< the service's leader decided; false: this host by itself
};

enum class RejectReason {
    NoServer, ///< no server of the service is usable
    NoOwner, ///< no server holds the key
    TooLate, ///< the wait would be longer than the request's time
    RetryBudget, ///< all repeated sends of this window are used up
    Stopping, ///< this host is about to end
};

/// @brief The item is not sent.
struct Rejection
{
    Ticket ticket = 0;
    RejectReason reason = RejectReason::TooLate;
    Duration retryAfter{}; ///< when there is probably room
    std::uint32_t waiting = 0; ///< requests that waited for the same servers when this was decided
    bool byLeader = false; ///< the service's leader decided; false: this host by itself
};

using DispatchDecision = std::variant<Placement, Rejection>;

/// @brief A short text for logs.
std::string_view describe(RejectReason reason);
std::string_view describe(WorkEnd end);

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_WORK_HPP
