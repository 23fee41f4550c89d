#ifndef SNIPEVALVE_GATEWAY_SERVER_NOTICE_LOG_HPP
#define SNIPEVALVE_GATEWAY_SERVER_NOTICE_LOG_HPP

#include <string>
#include <string_view>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/leaving_servers.hpp"
#include "snipevalve/gateway/server_notice.hpp"

namespace snipevalve {

/// @brief The time of day, for logs only: it may step.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// @brief The time of day at a time of the clock that decisions use.
WallTime wallTimeOf(TimePoint time);

/// @brief The log line of a server that is leaving.
/// @param since when this became known
/// @param host that has told it
std::string leavingLogText(const LeavingServer &leaving, WallTime since, std::string_view host);

/// @brief The log line of a server that has asked for a pause.
/// @param until the end of the pause
/// @param asked the duration that the answer asked for; an earlier answer may have asked for a later end
std::string pauseLogText(std::string_view service, std::string_view server, WallTime until, Milliseconds asked);

/// @brief The log line of a header of a server's answer that was ignored.
std::string invalidHeaderLogText(std::string_view server, const InvalidHeader &header);

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_NOTICE_LOG_HPP
