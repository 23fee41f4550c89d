#ifndef SNIPEVALVE_STANDINS_HOLD_RECORD_HPP
#define SNIPEVALVE_STANDINS_HOLD_RECORD_HPP

#include <string>
#include <variant>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch/key_owners.hpp"

namespace snipevalve::standins {

/// @brief The start of a run of a server.
struct StartEvent
{
    TimePoint at;
    std::int64_t serverStart = 0; ///< as in its entry: identifies the run
};

/// @brief A grant that a server has accepted.
struct GrantEvent
{
    TimePoint at; ///< arrival of the call
    TimePoint appliedAt; ///< later than `at` when the order is carried out late
    TimePoint until; ///< when the hold ends by the server's own clock
    KeyRange keys;
    std::uint64_t fence = 0;
    std::string giver; ///< address of the host that sent the call
};

/// @brief A release that a server has carried out.
struct ReleaseEvent
{
    TimePoint at;
    KeyRange keys;
    std::string giver;
};

/// @brief One arrival of one request at one server.
struct RequestArrival
{
    std::string server;
    std::string requestId;
    std::string service;
    TimePoint at;
    bool ran = true; ///< false when the server refused the request without running it
    std::int64_t serverStart = 0; ///< identifies the run of the server
    bool announcesLeaving = false; ///< its answer says that it leaves
    Milliseconds pause{0}; ///< that its answer asks for
    std::uint16_t key = 0;
};

/// @brief The end of the work on a request.
struct WorkEndEvent
{
    TimePoint at;
    std::string requestId;
};

using ServerEvent = std::variant<StartEvent, GrantEvent, ReleaseEvent, RequestArrival, WorkEndEvent>;

/// @brief What one run of a keyed server did, in order. All times are those of the machine's monotonic clock, which the
/// processes of a test share.
struct ServerRecord
{
    std::string id;
    std::string service;
    std::vector<ServerEvent> events;
};

/// @brief Formats an event as one line of a record file.
std::string toLine(const ServerEvent &event);

/// @brief Reads a record file. A last line that was cut off is left out.
ServerRecord readServerRecord(const std::string &path, const std::string &id, const std::string &service);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_HOLD_RECORD_HPP
